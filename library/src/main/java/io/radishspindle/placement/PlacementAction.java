package io.radishspindle.placement;

import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.platform.WorkerClient;

/** Decision of the placement core that its owner has to carry out. Actions are immutable and thread-safe. */
public sealed interface PlacementAction {
    /** Start an attempt on a worker; {@code reserved} is charged to it from now on. */
    record StartTask(TaskAttempt attempt, String workerId, Resources reserved) implements PlacementAction {}

    /** Change a running attempt. */
    record CommandTask(TaskAttempt attempt, String workerId, WorkerClient.Command command, String reason)
            implements PlacementAction {}

    /** An attempt ended; the journal records it, then the worker is notified that it may discard the attempt. */
    record RecordAttempt(TaskAttempt attempt, String workerId, TaskOutcome outcome, boolean taskCompleted)
            implements PlacementAction {}

    /** A job reached a final phase; the journal records it. */
    record RecordJobEnd(String jobId, JobStatus.Phase phase, String explanation) implements PlacementAction {}

    /** A task is back in the queue, for example after a failed attempt. */
    record TaskRequeued(TaskId task, String reason) implements PlacementAction {}

    /** A worker is quarantined: it gets no work until {@code untilMs}. */
    record WorkerQuarantined(String workerId, long untilMs, String reason) implements PlacementAction {}
}
