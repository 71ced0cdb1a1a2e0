package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.RunState.Phase;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Frees room for tasks that have waited too long by stopping runs of lower priority that lose little: those that can
 * resume from a checkpoint, and those that have just begun. Lives for one pass; not thread-safe.
 */
final class Preemptor {
    /** Orders runs by what stopping them costs: the most recently started first. */
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
     * Finds room for one task in what stopping runs will free, or else chooses runs to stop. Either way the room is
     * promised to the task for this pass.
     */
    List<RunState> makeRoom(StepState step) {
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
            placer.promise(best, need);
        }
        return bestVictims;
    }

    /** Fewest recent runs whose end lets {@code need} fit; null if nothing on the worker can give way. */
    private @Nullable List<RunState> victims(StepState step, WorkerState worker, Resources need) {
        Resources future = placer.futureFree(worker);
        List<RunState> chosen = new ArrayList<>();
        if (need.fitsIn(future)) {
            return chosen;
        }
        List<RunState> candidates = worker.runs.values().stream()
                .filter(run -> mayGiveWay(step, run))
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

    private boolean mayGiveWay(StepState step, RunState run) {
        if (run.task == null || run.phase != Phase.RUNNING) {
            return false;
        }
        StepState other = run.task.step;
        if (other.spec.lasting() || other.spec.gang() || other.job.job.priority() <= step.job.job.priority()) {
            return false;
        }
        return other.spec.checkpoint() || nowMs - run.sentAtMs < PoolTiming.YOUNG_RUN_MS;
    }
}
