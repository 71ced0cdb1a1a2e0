package io.radishspindle.soak;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;

/** What workers and submitters recorded. Events are immutable and thread-safe; times are milliseconds of one clock. */
public sealed interface HistoryEvent {
    long atMs();

    /** A worker exists. */
    record WorkerUp(long atMs, String worker, Resources capacity) implements HistoryEvent {}

    /** A worker died; its tasks are gone with it. */
    record WorkerDied(long atMs, String worker) implements HistoryEvent {}

    /** A worker resumed after a pause; nothing ran there meanwhile. */
    record WorkerPaused(long atMs, String worker, long sinceMs) implements HistoryEvent {}

    /** The run lease of a worker lapsed. */
    record LeaseLapsed(long atMs, String worker) implements HistoryEvent {}

    /** A worker started an attempt. */
    record Started(long atMs, String worker, TaskAttempt attempt, Resources resources) implements HistoryEvent {}

    /** An attempt ended at a worker. */
    record Ended(long atMs, String worker, TaskAttempt attempt, TaskOutcome outcome) implements HistoryEvent {}

    /** A worker was told that it may forget a finished attempt. */
    record Acknowledged(long atMs, String worker, TaskAttempt attempt) implements HistoryEvent {}

    /** A submitter sent a job. */
    record Submitted(long atMs, JobSpec job) implements HistoryEvent {}

    /** A submitter got its answer. */
    record Answered(long atMs, String jobId, Verdict verdict) implements HistoryEvent {}

    /** A submitter sent a cancellation; it may or may not have taken effect. */
    record CancelSent(long atMs, String jobId) implements HistoryEvent {}

    /** What the submitter was told at the end of the run. */
    record FinalPhase(long atMs, String jobId, JobStatus.Phase phase) implements HistoryEvent {}

    /** Answer to a submission. */
    enum Verdict {
        ACCEPTED,
        NOT_RUN,
        UNKNOWN
    }
}
