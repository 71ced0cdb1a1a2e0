package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Selects the runs of a worker whose stops free an amount with the least loss of work. Used for one pass; not
 * thread-safe.
 */
final class VictimSelection {
    /** Runs to stop and the work lost by that, in milliseconds of one core. */
    record Victims(List<RunState> runs, double lostCoreMs) {
        Victims {
            runs = List.copyOf(runs);
        }
    }

    private record Candidate(RunState run, double lostCoreMs, long endMs) {}

    /** Orders runs by the work lost when they stop; among equals, the run that would end last comes first. */
    private static final Comparator<Candidate> CHEAPEST_FIRST = Comparator.comparingDouble(Candidate::lostCoreMs)
            .thenComparing(Comparator.comparingLong(Candidate::endMs).reversed());

    private static final Victims NONE = new Victims(List.of(), 0);

    private final ExpectedEnds ends;
    private final long nowMs;
    private final long helpsAtMs;

    /** @param helpsAtMs time at which runs that are stopped now have ended */
    VictimSelection(ExpectedEnds ends, long nowMs, long helpsAtMs) {
        this.ends = ends;
        this.nowMs = nowMs;
        this.helpsAtMs = helpsAtMs;
    }

    /**
     * Selects victims besides {@code taken}; null if stops can't free enough.
     *
     * @param repeatedLossLimit highest loss in milliseconds of one core for a run whose task was preempted before
     */
    @Nullable
    Victims select(StepState step, WorkerRoom room, Resources need, Set<RunState> taken, double repeatedLossLimit) {
        Resources free = room.freeAt(helpsAtMs);
        for (RunState run : taken) {
            free = free.plus(run.reserved);
        }
        if (need.fitsIn(free)) {
            return NONE;
        }
        if (!room.mayEvictFor(step.job.job.priority())) {
            return null;
        }
        List<Candidate> candidates = new ArrayList<>();
        for (RunState run : room.worker.runs.values()) {
            if (!taken.contains(run) && isPreemptible(step, run, repeatedLossLimit)) {
                candidates.add(candidate(run));
            }
        }
        candidates.sort(CHEAPEST_FIRST);
        List<Candidate> chosen = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (!isShort(free, need, candidate.run().reserved)) {
                continue;
            }
            chosen.add(candidate);
            free = free.plus(candidate.run().reserved);
            if (need.fitsIn(free)) {
                return withoutUnneeded(chosen, free, need);
            }
        }
        return null;
    }

    /** Drops the most expensive victims whose resources are not needed besides the others. */
    private static Victims withoutUnneeded(List<Candidate> chosen, Resources freed, Resources need) {
        Resources free = freed;
        List<RunState> runs = new ArrayList<>();
        double lost = 0;
        for (int i = chosen.size() - 1; i >= 0; i--) {
            Candidate candidate = chosen.get(i);
            Resources without = free.minus(candidate.run().reserved);
            if (need.fitsIn(without)) {
                free = without;
            } else {
                runs.add(candidate.run());
                lost += candidate.lostCoreMs();
            }
        }
        return new Victims(runs, lost);
    }

    /** Returns whether a resource that is missing for {@code need} is among {@code offered}. */
    private static boolean isShort(Resources free, Resources need, Resources offered) {
        return (need.milliCores() > free.milliCores() && offered.milliCores() > 0)
                || (need.memoryMib() > free.memoryMib() && offered.memoryMib() > 0)
                || (need.accelerators() > free.accelerators() && offered.accelerators() > 0);
    }

    private Candidate candidate(RunState run) {
        TaskState task = run.task;
        double lost = task == null ? 0 : Work.lostByStop(run, task.step, nowMs);
        return new Candidate(run, lost, ends.endMs(run));
    }

    private boolean isPreemptible(StepState step, RunState run, double repeatedLossLimit) {
        TaskState task = run.task;
        if (task == null || run.phase != RunState.Phase.RUNNING) {
            return false;
        }
        StepState other = task.step;
        if (other.spec.lasting() || other.spec.gang() || other.job.job.priority() <= step.job.job.priority()) {
            return false;
        }
        if (!other.spec.checkpoint() && nowMs - run.sentAtMs >= PoolTiming.MAX_UNSAVED_RUN_AGE_MS) {
            return false;
        }
        if (task.preempted && Work.lostByStop(run, other, nowMs) > repeatedLossLimit) {
            return false;
        }
        return ends.endMs(run) > helpsAtMs;
    }
}
