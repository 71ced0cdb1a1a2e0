package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;

/**
 * One line of a worker's own record. Immutable and thread-safe.
 *
 * @param attempt the attempt that started or ended; one without a job for other kinds
 * @param resources of the attempt, or the capacity of the worker when it boots
 * @param outcome how the attempt ended; empty for other kinds
 * @param atMs wall-clock time in milliseconds
 * @param untilMs end of a pause, in wall-clock milliseconds; equal to {@code atMs} for other kinds
 */
public record WorkerEvent(
        Kind kind, String worker, TaskAttempt attempt, Resources resources, String outcome, long atMs, long untilMs) {
    /** What happened. */
    public enum Kind {
        /** The process started; nothing that an earlier process ran is running any more. */
        BOOT,
        START,
        END,
        /** The process did not run from {@code atMs} until {@code untilMs}, and neither did its tasks. */
        PAUSE
    }

    static final TaskAttempt NO_ATTEMPT = new TaskAttempt(new TaskId("", 0), 0, 0);
}
