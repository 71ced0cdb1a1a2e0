package io.radishspindle.placement.internal;

import io.radishspindle.placement.PlacementAction;
import java.util.HashSet;
import java.util.Set;

/**
 * Quarantines workers on which tasks of several jobs and families fail without a success in between. Not thread-safe.
 *
 * <p>Invariant: at most a tenth of the workers, but always at least one, is in quarantine at once.
 */
final class Quarantine {
    /** Jobs that must have failed since the last success; one faulty job alone never suffices. */
    private static final int MIN_JOBS = 3;
    /** The jobs must belong to several families, because a faulty family fails on any worker. */
    private static final int MIN_FAMILIES = 2;

    private static final int WORKERS_PER_QUARANTINE = 10;
    private static final long FIRST_DURATION_MS = 60_000;
    private static final long MAX_DURATION_MS = 1_800_000;

    private final Context context;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Timers timers;
    private int quarantined;

    Quarantine(Components components) {
        this.context = components.context;
        this.workers = components.workers;
        this.ledger = components.ledger;
        this.timers = components.timers;
    }

    void noteSuccess(WorkerState worker) {
        worker.consecutiveFailures.clear();
        worker.quarantines = 0;
    }

    void noteFailure(WorkerState worker, JobState job, int index) {
        if (job.family.hasFailedElsewhere(worker.id)) {
            return;
        }
        worker.consecutiveFailures.put(job.spec.id(), new WorkerState.FailedTask(job, index));
        if (worker.quarantinedUntilMs == 0 && isFaulty(worker) && quarantined < limit()) {
            begin(worker);
        }
    }

    private static boolean isFaulty(WorkerState worker) {
        Set<String> families = new HashSet<>();
        worker.consecutiveFailures
                .values()
                .forEach(f -> families.add(f.job().spec.family()));
        return worker.consecutiveFailures.size() >= MIN_JOBS && families.size() >= MIN_FAMILIES;
    }

    private int limit() {
        return Math.max(1, workers.all().size() / WORKERS_PER_QUARANTINE);
    }

    private void begin(WorkerState worker) {
        long durationMs = Math.min(MAX_DURATION_MS, FIRST_DURATION_MS << Math.min(worker.quarantines, 10));
        worker.quarantines++;
        worker.quarantinedUntilMs = context.nowMs + durationMs;
        quarantined++;
        workers.reindex(worker);
        String reason = "failed tasks of " + worker.consecutiveFailures.size() + " different jobs in a row";
        context.emit(new PlacementAction.WorkerQuarantined(worker.id, worker.quarantinedUntilMs, reason));
        worker.consecutiveFailures.values().forEach(failed -> refundFailure(worker, failed));
        worker.consecutiveFailures.clear();
        timers.at(worker.quarantinedUntilMs, () -> end(worker));
    }

    /** Refunds a failure that the worker caused, so that it does not count against the job's retry budget. */
    private void refundFailure(WorkerState worker, WorkerState.FailedTask failed) {
        JobState job = failed.job();
        job.totalFailures = Math.max(0, job.totalFailures - 1);
        job.retriesUsed = Math.max(0, job.retriesUsed - 1);
        job.failures[failed.index()] = Math.max(0, job.failures[failed.index()] - 1);
        job.family.discountFailures(1, worker.id);
    }

    private void end(WorkerState worker) {
        worker.quarantinedUntilMs = 0;
        quarantined--;
        workers.reindex(worker);
        ledger.noteFreed(worker);
    }
}
