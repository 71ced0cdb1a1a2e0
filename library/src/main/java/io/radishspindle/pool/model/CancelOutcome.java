package io.radishspindle.pool.model;

/** Outcome of a request to cancel a job. */
public enum CancelOutcome {
    /** The cancellation is durable. */
    STORED,
    /** No such job exists. */
    UNKNOWN_JOB,
    /** The job belongs to another tenant than the caller; nothing has changed. */
    FORBIDDEN
}
