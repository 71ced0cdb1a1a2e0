package io.radishspindle.platform;

/** Source of time. Implementations are thread-safe. */
public interface Clock {
    /** Milliseconds of a monotonic clock with an arbitrary origin; never decreases, also across pauses. */
    long nowMs();

    /** Milliseconds since the Unix epoch, for records that people read; never used for leases. */
    long wallMs();
}
