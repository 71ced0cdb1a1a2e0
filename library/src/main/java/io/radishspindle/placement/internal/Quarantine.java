package io.radishspindle.placement.internal;

import io.radishspindle.placement.PlacementAction;
import java.util.HashSet;
import java.util.Set;

/**
 * Takes workers out of use that fail everything they start. Not thread-safe.
 *
 * <p>Invariant: at most a tenth of the workers, but always at least one, is in quarantine at once.
 */
final class Quarantine {
    /** Failures in a row of this many jobs; one bad job alone never suffices. */
    private static final int MIN_JOBS = 3;
    /** The jobs must belong to several families, because a bad family fails on any worker. */
    private static final int MIN_FAMILIES = 2;

    private static final int MAX_PART = 10;
    private static final long FIRST_MS = 60_000;
    private static final long MAX_MS = 1_800_000;

    private final Context context;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Timers timers;
    private int quarantined;

    Quarantine(Parts parts) {
        this.context = parts.context;
        this.workers = parts.workers;
        this.ledger = parts.ledger;
        this.timers = parts.timers;
    }

    void noteSuccess(WorkerState worker) {
        worker.failuresInRow.clear();
        worker.quarantines = 0;
    }

    void noteFailure(WorkerState worker, JobState job, int index) {
        if (job.family.failsElsewhere(worker.id)) {
            return;
        }
        worker.failuresInRow.put(job.spec.id(), new WorkerState.FailedStart(job, index));
        if (worker.quarantinedUntilMs == 0 && isBad(worker) && quarantined < limit()) {
            begin(worker);
        }
    }

    private static boolean isBad(WorkerState worker) {
        Set<String> familiesSeen = new HashSet<>();
        worker.failuresInRow.values().forEach(f -> familiesSeen.add(f.job().spec.family()));
        return worker.failuresInRow.size() >= MIN_JOBS && familiesSeen.size() >= MIN_FAMILIES;
    }

    private int limit() {
        return Math.max(1, workers.all().size() / MAX_PART);
    }

    private void begin(WorkerState worker) {
        long lengthMs = Math.min(MAX_MS, FIRST_MS << Math.min(worker.quarantines, 10));
        worker.quarantines++;
        worker.quarantinedUntilMs = context.nowMs + lengthMs;
        quarantined++;
        workers.reindex(worker);
        String reason = "failed tasks of " + worker.failuresInRow.size() + " different jobs in a row";
        context.emit(new PlacementAction.WorkerQuarantined(worker.id, worker.quarantinedUntilMs, reason));
        worker.failuresInRow.values().forEach(failed -> giveBack(worker, failed));
        worker.failuresInRow.clear();
        timers.at(worker.quarantinedUntilMs, () -> end(worker));
    }

    /** The failure was the worker's fault, so it does not count against the job's retry budget. */
    private void giveBack(WorkerState worker, WorkerState.FailedStart failed) {
        JobState job = failed.job();
        job.totalFailures = Math.max(0, job.totalFailures - 1);
        job.retriesUsed = Math.max(0, job.retriesUsed - 1);
        job.failures[failed.index()] = Math.max(0, job.failures[failed.index()] - 1);
        job.family.forgiveFailures(1, worker.id);
    }

    private void end(WorkerState worker) {
        worker.quarantinedUntilMs = 0;
        quarantined--;
        workers.reindex(worker);
        ledger.freed(worker);
    }
}
