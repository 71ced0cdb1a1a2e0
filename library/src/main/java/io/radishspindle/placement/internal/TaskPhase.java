package io.radishspindle.placement.internal;

/** State of a task within its job. */
enum TaskPhase {
    /** In the queue; may be started. */
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
