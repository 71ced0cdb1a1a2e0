package io.radishspindle.pool.model;

import io.radishspindle.model.Resources;
import java.util.List;

/**
 * One step of a job: equal tasks that become runnable together. Immutable and thread-safe.
 *
 * @param count number of tasks, at least 1
 * @param perTask resources of each task
 * @param estimateMs declared run time of a task in milliseconds; a rough estimate
 * @param after indices of earlier steps that must be done first
 * @param checkpoint tasks save their progress and can resume from it
 * @param gang tasks run only together and end together
 * @param sameRack tasks are slower when they run on more than one rack
 * @param label label that a worker must carry; empty for any
 * @param rack preferred rack; empty for none
 * @param maxPerWorker most tasks of one occurrence on one worker; 0 for no limit
 * @param speculative several copies of a task may run at once
 * @param lasting tasks run until the job is cancelled
 * @param image tasks of one image behave alike; may be empty
 * @param targetMs response time that a lasting task must keep, in milliseconds; 0 for none
 * @param fills uses only processor time that other tasks leave; its processors are not reserved
 * @param maxUnavailable tasks of a lasting step that may be away at once because of scheduling
 */
public record StepSpec(
        int count,
        Resources perTask,
        long estimateMs,
        List<Integer> after,
        boolean checkpoint,
        boolean gang,
        boolean sameRack,
        String label,
        String rack,
        int maxPerWorker,
        boolean speculative,
        boolean lasting,
        String image,
        long targetMs,
        boolean fills,
        int maxUnavailable) {
    public StepSpec {
        after = List.copyOf(after);
    }

    /** Resources that a running task takes away from other tasks. */
    public Resources reserved() {
        return fills ? new Resources(0, perTask.memoryMib(), perTask.accelerators()) : perTask;
    }
}
