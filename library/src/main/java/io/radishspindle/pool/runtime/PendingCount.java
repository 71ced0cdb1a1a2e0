package io.radishspindle.pool.runtime;

/**
 * Number of jobs of a queue without a started task. Immutable and thread-safe.
 *
 * @param asOfMs time on this VM's monotonic clock at which all accepted jobs were counted, in milliseconds
 */
record PendingCount(int count, long asOfMs) {
    /** Age up to which the number is given to callers, in milliseconds; the platform allows as much. */
    private static final long MAX_AGE_MS = 2_000;

    boolean isCurrent(long nowMs) {
        return ageMs(nowMs) <= MAX_AGE_MS;
    }

    long ageMs(long nowMs) {
        return nowMs - asOfMs;
    }
}
