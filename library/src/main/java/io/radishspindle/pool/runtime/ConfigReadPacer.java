package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Spaces out the reads of the configuration, so that neither the link nor the processor is busy with them for most of
 * the time while large versions follow each other closely, and so that failed reads aren't repeated at once. Confined
 * to one event loop.
 */
final class ConfigReadPacer {
    /** Pause in multiples of the time that transferring and applying a version took: a quarter of the time is reads. */
    private static final int PAUSE_FACTOR = 3;
    /** Shorter pauses are left out, in milliseconds, as are those after a version that was quick to read. */
    private static final long MIN_PAUSE_MS = 30;
    /**
     * Rate at which a transfer is assumed to proceed at least, in bytes per millisecond: 10 Mbit/s. A watch does not
     * tell how much of its time was waiting.
     */
    private static final long SLOW_LINK_BYTES_PER_MS = 1_250;

    private static final long FIRST_RETRY_MS = 200;
    /** Longest delay of a retry, in milliseconds; the age of the configuration is bounded by a few seconds. */
    private static final long MAX_RETRY_MS = 1_000;

    private final Clock clock;
    private final UniformRandomProvider random;
    private long transferMs;
    private long transferredAtMs;
    private int failures;
    private long retryAtMs;

    ConfigReadPacer(Clock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
        retryAtMs = clock.nowMs();
    }

    /**
     * A read has succeeded.
     *
     * @param elapsedMs time since its request, in milliseconds
     * @param bytes size of the version as transferred; 0 if nothing has changed
     */
    void onSuccess(long elapsedMs, long bytes) {
        failures = 0;
        transferMs = bytes == 0 ? 0 : Math.max(1, Math.min(elapsedMs, bytes / SLOW_LINK_BYTES_PER_MS));
        transferredAtMs = clock.nowMs();
    }

    void onFailure() {
        failures++;
        transferMs = 0;
        long boundMs = Math.min(MAX_RETRY_MS, FIRST_RETRY_MS << Math.min(failures - 1, 6));
        retryAtMs = clock.nowMs() + boundMs / 2 + random.nextLong(boundMs / 2 + 1);
    }

    /**
     * Delay of the read that is due now, in milliseconds.
     *
     * @param maxPauseMs longest pause after a version, in milliseconds
     */
    long delayMs(long maxPauseMs) {
        long nowMs = clock.nowMs();
        if (failures > 0) {
            return Math.max(0, retryAtMs - nowMs);
        }
        if (transferMs == 0) {
            return 0;
        }
        // The version is applied between the end of its read and the next one.
        long pauseMs = PAUSE_FACTOR * (transferMs + nowMs - transferredAtMs);
        transferMs = 0;
        return pauseMs < MIN_PAUSE_MS ? 0 : Math.min(maxPauseMs, pauseMs);
    }
}
