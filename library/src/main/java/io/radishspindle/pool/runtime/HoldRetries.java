package io.radishspindle.pool.runtime;

import io.radishspindle.pool.core.PoolTiming;
import java.util.HashMap;
import java.util.Map;

/**
 * Delays between a failed hold and the next one to the same worker. Confined to one event loop.
 *
 * <p>Invariant: the delays to a silent worker double, so that retries add little load to a congested link, and a hold
 * is sent as soon as all leases of the worker have expired, which is the condition for giving up its runs.
 */
final class HoldRetries {
    /** Longest delay in milliseconds: a worker that returns gets work within two seconds. */
    static final long MAX_DELAY_MS = 960;

    private final Map<String, Long> delaysMs = new HashMap<>();

    /** The worker has answered in time, or is not polled any more. */
    void onAnswered(String worker) {
        delaysMs.remove(worker);
    }

    /**
     * Returns the delay before the next hold in milliseconds.
     *
     * @param silent whether there was no answer, rather than a connection that was closed or refused
     * @param leasesEndMs time by which all leases of the worker have expired
     */
    long delayMs(String worker, boolean silent, long leasesEndMs, long nowMs) {
        if (!silent) {
            return PoolTiming.HOLD_RETRY_MS;
        }
        long delayMs = delaysMs.getOrDefault(worker, PoolTiming.HOLD_RETRY_MS);
        delaysMs.put(worker, Math.min(2 * delayMs, MAX_DELAY_MS));
        long expiryMs = leasesEndMs - nowMs;
        return expiryMs > 0 ? Math.min(delayMs, expiryMs) : delayMs;
    }
}
