package io.radishspindle.model;

/** How an attempt ended. */
public enum TaskOutcome {
    SUCCEEDED,
    FAILED,
    /** Stopped on request: cancelled, preempted or drained. */
    STOPPED,
    /** Stopped by the worker because its run lease lapsed. */
    LEASE_EXPIRED
}
