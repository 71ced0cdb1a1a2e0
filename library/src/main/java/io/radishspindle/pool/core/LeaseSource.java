package io.radishspindle.pool.core;

/** What sets the time by which all leases of a worker have expired. */
enum LeaseSource {
    /** No lease is known, or its worker has ended. */
    NONE,
    HOLD,
    START,
    /** An earlier owner may have granted a lease. */
    EARLIER_OWNER,
    /** An earlier incarnation of the worker may have got the lease, on another clock. */
    EARLIER_INCARNATION
}
