package io.radishspindle.pool.model;

/** Phases of a job's life cycle. Stored and reported under these names. */
public enum JobPhase {
    QUEUED,
    RUNNING,
    COMPLETED,
    FAILED,
    CANCELLED;

    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
