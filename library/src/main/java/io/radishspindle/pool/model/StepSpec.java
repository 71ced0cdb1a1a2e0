package io.radishspindle.pool.model;

import io.radishspindle.model.Resources;
import java.util.List;

/**
 * One step of a job: identical tasks that become runnable together. Immutable and thread-safe.
 *
 * @param count number of tasks, at least 1
 * @param perTask resources of each task
 * @param estimateMs declared run time of a task in milliseconds; a rough estimate
 * @param after indices of earlier steps that must have completed first
 * @param checkpoint tasks save their progress and can resume from it
 * @param gang tasks start together and end together
 * @param sameRack tasks are slower when they run on more than one rack
 * @param label label that a worker must have; empty for any worker
 * @param rack preferred rack; empty for none
 * @param maxPerWorker highest number of tasks of one occurrence on one worker; 0 for no limit
 * @param speculative several copies of a task may run at once
 * @param lasting tasks run until the job is cancelled, and are restarted when they end
 * @param image image of the tasks; tasks of one image have similar run times; may be empty
 * @param targetMs response time that a lasting task must stay within, in milliseconds; 0 for none
 * @param fills tasks use only processor time that other tasks leave idle; no processors are reserved for them
 * @param maxUnavailable highest number of tasks of a lasting step that scheduling may make unavailable at once
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

    /** Returns the resources that are reserved for a running task. */
    public Resources reserved() {
        return fills ? new Resources(0, perTask.memoryMib(), perTask.accelerators()) : perTask;
    }
}
