package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.RunState.Phase;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Frees capacity for tasks that have waited too long by stopping runs of lower priority that lose little work: runs
 * that can resume from a checkpoint and runs that have just started. Used for one pass; not thread-safe.
 */
final class Preemptor {
    /** Orders runs by the work lost when they stop: the most recently started first. */
    private static final Comparator<RunState> CHEAPEST_FIRST =
            Comparator.comparingLong((RunState run) -> run.sentAtMs).reversed();

    private final Collection<WorkerState> workers;
    private final Placer placer;
    private final long nowMs;

    Preemptor(Collection<WorkerState> workers, Placer placer, long nowMs) {
        this.workers = workers;
        this.placer = placer;
        this.nowMs = nowMs;
    }

    /**
     * Finds a worker on which one task will fit once stopping runs have ended, or else chooses runs to stop there.
     * Either way the capacity is reserved for the task during this pass.
     */
    List<RunState> freeCapacity(StepState step) {
        Resources need = step.spec.reserved();
        WorkerState best = null;
        List<RunState> bestVictims = List.of();
        for (WorkerState worker : workers) {
            if (!worker.isUsable(nowMs) || !placer.mayRun(step, worker) || !placer.hasTicket(step, worker)) {
                continue;
            }
            List<RunState> victims = victims(step, worker, need);
            if (victims != null && (best == null || victims.size() < bestVictims.size())) {
                best = worker;
                bestVictims = victims;
            }
        }
        if (best != null) {
            placer.reserveCapacity(best, need);
        }
        return bestVictims;
    }

    /** Returns the most recent runs whose end lets {@code need} fit; null if preemption can't free enough. */
    private @Nullable List<RunState> victims(StepState step, WorkerState worker, Resources need) {
        Resources future = placer.futureFree(worker);
        List<RunState> chosen = new ArrayList<>();
        if (need.fitsIn(future)) {
            return chosen;
        }
        List<RunState> candidates = worker.runs.values().stream()
                .filter(run -> isPreemptible(step, run))
                .sorted(CHEAPEST_FIRST)
                .toList();
        for (RunState run : candidates) {
            chosen.add(run);
            future = future.plus(run.reserved);
            if (need.fitsIn(future)) {
                return chosen;
            }
        }
        return null;
    }

    private boolean isPreemptible(StepState step, RunState run) {
        if (run.task == null || run.phase != Phase.RUNNING) {
            return false;
        }
        StepState other = run.task.step;
        if (other.spec.lasting() || other.spec.gang() || other.job.job.priority() <= step.job.job.priority()) {
            return false;
        }
        return other.spec.checkpoint() || nowMs - run.sentAtMs < PoolTiming.MAX_UNSAVED_RUN_AGE_MS;
    }
}
