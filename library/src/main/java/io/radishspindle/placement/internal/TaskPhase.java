package io.radishspindle.placement.internal;

/** Where a task is in its life. */
enum TaskPhase {
    /** In the queue. */
    READY,
    /** Waits for a timer: back-off, pacing. */
    DELAYED,
    /** May still run somewhere after a change of owner. */
    OPEN,
    /** Has a live attempt. */
    LIVE,
    SUCCEEDED,
    FAILED,
    CANCELLED;

    boolean isFinal() {
        return this == SUCCEEDED || this == FAILED || this == CANCELLED;
    }
}
