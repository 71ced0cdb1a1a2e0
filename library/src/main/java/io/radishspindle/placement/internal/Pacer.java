package io.radishspindle.placement.internal;

/**
 * Spreads the re-placement of tasks after a loss over time, so that a lost rack does not delay urgent and new work.
 * Not thread-safe.
 */
final class Pacer {
    /** 100 tasks a second: a worker's tasks are back within a second, those of a rack within a few. */
    private static final long INTERVAL_MS = 10;

    private long nextSlotAtMs;

    /** The time at which one more lost task may be placed again. */
    long nextSlot(long nowMs) {
        long slot = Math.max(nowMs, nextSlotAtMs);
        nextSlotAtMs = slot + INTERVAL_MS;
        return slot;
    }
}
