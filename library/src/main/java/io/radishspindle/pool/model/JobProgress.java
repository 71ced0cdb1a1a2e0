package io.radishspindle.pool.model;

import java.util.List;

/**
 * The progress of a job as it is stored, so that it survives the loss of every VM. Immutable by convention; the
 * arrays are not copied.
 *
 * @param endedWallMs Unix milliseconds at which the job reached a final phase; 0 while it is unfinished
 */
public record JobProgress(JobPhase phase, long endedWallMs, List<StepProgress> steps) {
    public JobProgress {
        steps = List.copyOf(steps);
    }

    /**
     * Progress of one step of one occurrence.
     *
     * @param done bit set of the tasks that have succeeded
     * @param highestAttempt highest attempt number used for any task of the step
     * @param failures pairs of task index and attempt number, one for each failed run
     * @param crashes tasks under which workers have crashed; empty in what earlier releases have written
     */
    public record StepProgress(
            int occurrence, int step, long[] done, int highestAttempt, int[] failures, List<TaskCrashes> crashes) {
        @SuppressWarnings("ConstantValue") // The decoder passes null for an absent field.
        public StepProgress {
            crashes = crashes == null ? List.of() : List.copyOf(crashes);
        }
    }
}
