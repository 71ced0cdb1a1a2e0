package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.StepSpec;
import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Estimates which waiting steps will find room soon, so that advice whose tickets would expire unused is not asked
 * for. Steps are offered in rank order. Lives for one scheduling pass; not thread-safe.
 */
final class RoomForecast {
    /** Room that is free, or will be before a ticket that is asked for now expires. */
    private Resources expected = Resources.NONE;

    private final TreeMap<Integer, Resources> preemptibleByPriority = new TreeMap<>();
    private Resources claimed = Resources.NONE;

    /** @param horizonMs time ahead that counts, in milliseconds */
    RoomForecast(Collection<WorkerState> workers, DurationStats durations, long nowMs, long horizonMs) {
        for (WorkerState worker : workers) {
            if (!worker.isUsable(nowMs)) {
                continue;
            }
            expected = expected.plus(worker.free());
            for (RunState run : worker.runs.values()) {
                TaskState task = run.task;
                if (task == null || endsBy(run, task.step, durations, nowMs + horizonMs)) {
                    expected = expected.plus(run.reserved);
                } else if (isPreemptible(task.step.spec)) {
                    preemptibleByPriority.merge(task.step.job.job.priority(), run.reserved, Resources::plus);
                }
            }
        }
    }

    private static boolean endsBy(RunState run, StepState step, DurationStats durations, long untilMs) {
        if (run.phase == RunState.Phase.STOPPING) {
            return true;
        }
        return !step.spec.lasting() && run.sentAtMs + durations.expectedMs(step) <= untilMs;
    }

    private static boolean isPreemptible(StepSpec spec) {
        return spec.checkpoint() && !spec.gang() && !spec.lasting();
    }

    /** Whether a task of the step is likely to fit after all that ranks before it. */
    boolean expectsRoom(StepState step) {
        Resources room = expected;
        Map<Integer, Resources> lower = preemptibleByPriority.tailMap(step.job.job.priority(), false);
        for (Resources preemptible : lower.values()) {
            room = room.plus(preemptible);
        }
        return claimed.plus(step.spec.reserved()).fitsIn(room);
    }

    /** Counts the waiting tasks of a step against the room of those that rank after it. */
    void claim(StepState step) {
        claimed = claimed.plus(step.spec.reserved().times((int) step.waitingTasks()));
    }
}
