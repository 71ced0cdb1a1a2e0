package io.radishspindle.pool.model;

import java.util.List;

/**
 * What must survive the loss of every VM about a job. Immutable by convention; the arrays are not copied.
 *
 * @param endedWallMs Unix milliseconds at which the job reached a final phase; 0 before
 */
public record JobProgress(JobPhase phase, long endedWallMs, List<StepProgress> steps) {
    public JobProgress {
        steps = List.copyOf(steps);
    }

    /**
     * Progress of one step of one occurrence.
     *
     * @param done bit set of the tasks that have succeeded
     * @param highestAttempt highest number of a start in the step
     * @param failures pairs of task index and attempt that ended as failed
     */
    public record StepProgress(int occurrence, int step, long[] done, int highestAttempt, int[] failures) {}
}
