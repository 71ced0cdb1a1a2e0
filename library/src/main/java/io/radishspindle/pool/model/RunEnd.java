package io.radishspindle.pool.model;

/** The way in which a run ended, as its worker reports it. */
public enum RunEnd {
    DONE,
    /** The task or its worker failed. */
    FAILED,
    STOPPED,
    /** The lease on the worker's runs expired. */
    LEASE_EXPIRED,
    /** Another run of the gang ended. */
    GANG_BROKEN,
    /** The other runs of the gang did not start in time. */
    GANG_INCOMPLETE
}
