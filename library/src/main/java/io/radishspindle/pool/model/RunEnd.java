package io.radishspindle.pool.model;

/** How a run ended, as its worker reports it. */
public enum RunEnd {
    DONE,
    /** Through the task's own fault or the worker's. */
    FAILED,
    STOPPED,
    /** The lease of the worker's runs expired. */
    LEASE_EXPIRED,
    /** Another member of the gang ended. */
    GANG_BROKEN,
    /** The other members of the gang did not arrive in time. */
    GANG_INCOMPLETE
}
