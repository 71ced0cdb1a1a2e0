package io.radishspindle.pool.runtime;

import io.radishspindle.protocol.message.PoolMessages.PendingJobs;
import java.util.Optional;

/**
 * Number of jobs of a queue without a started task. Immutable and thread-safe.
 *
 * @param asOfMs time on this VM's monotonic clock at which all accepted jobs were counted, in milliseconds
 */
record PendingCount(int count, long asOfMs) {
    /** Age up to which the number is given to callers, in milliseconds; the platform allows as much. */
    private static final long MAX_AGE_MS = 2_000;

    /**
     * The number in the reply of another VM; empty if that VM gave none, or one that is too old or has no possible age.
     *
     * @param askedAtMs when the request was sent; the time for which the reply was on its way counts as age
     */
    static Optional<PendingCount> received(PendingJobs reply, long askedAtMs) {
        boolean valid = reply.count() >= 0 && reply.ageMs() >= 0 && reply.ageMs() <= MAX_AGE_MS;
        return valid ? Optional.of(new PendingCount(reply.count(), askedAtMs - reply.ageMs())) : Optional.empty();
    }

    boolean isCurrent(long nowMs) {
        return ageMs(nowMs) <= MAX_AGE_MS;
    }

    long ageMs(long nowMs) {
        return nowMs - asOfMs;
    }
}
