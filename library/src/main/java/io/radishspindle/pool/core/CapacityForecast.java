package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.StepSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;

/**
 * Estimates which waiting steps will find room soon, so that advice whose tickets would expire unused is not asked
 * for. Steps are offered in rank order. Lives for one scheduling pass; not thread-safe.
 */
final class RoomForecast {
    /** What a worker will have free before a ticket that is asked for now expires. */
    private static final class Room {
        Resources expected = Resources.NONE;
        final TreeMap<Integer, Resources> preemptibleByPriority = new TreeMap<>();

        void preemptible(int priority, Resources amount) {
            preemptibleByPriority.merge(priority, amount, Resources::plus);
        }

        /** Room for a priority, which may preempt the lower ones. */
        Resources forPriority(int priority) {
            Resources sum = expected;
            for (Resources lower :
                    preemptibleByPriority.tailMap(priority, false).values()) {
                sum = sum.plus(lower);
            }
            return sum;
        }
    }

    private final List<Room> rooms = new ArrayList<>();
    private final Room total = new Room();
    private Resources claimed = Resources.NONE;

    /** @param horizonMs time ahead that counts, in milliseconds */
    RoomForecast(Collection<WorkerState> workers, DurationStats durations, long nowMs, long horizonMs) {
        for (WorkerState worker : workers) {
            if (worker.isUsable(nowMs)) {
                add(worker, durations, nowMs + horizonMs);
            }
        }
    }

    private void add(WorkerState worker, DurationStats durations, long untilMs) {
        Room room = new Room();
        rooms.add(room);
        room.expected = worker.free();
        for (RunState run : worker.runs.values()) {
            TaskState task = run.task;
            if (task == null || endsBy(run, task.step, durations, untilMs)) {
                room.expected = room.expected.plus(run.reserved);
            } else if (isPreemptible(task.step.spec)) {
                int priority = task.step.job.job.priority();
                room.preemptible(priority, run.reserved);
                total.preemptible(priority, run.reserved);
            }
        }
        total.expected = total.expected.plus(room.expected);
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
        Resources need = step.spec.reserved();
        int priority = step.job.job.priority();
        return claimed.plus(need).fitsIn(total.forPriority(priority))
                && rooms.stream().anyMatch(room -> need.fitsIn(room.forPriority(priority)));
    }

    /** Counts the waiting tasks of a step against the room of those that rank after it. */
    void claim(StepState step) {
        claimed = claimed.plus(step.spec.reserved().times((int) step.waitingTasks()));
    }
}
