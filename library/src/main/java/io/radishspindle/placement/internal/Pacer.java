package io.radishspindle.placement.internal;

/**
 * Limits the rate at which tasks of lost workers are placed again, so that a lost rack does not delay urgent and new
 * work.
 * Not thread-safe.
 */
final class Pacer {
    /** 100 tasks a second: a lost worker's tasks are placed again within a second, those of a rack within a few. */
    private static final long INTERVAL_MS = 10;

    private long nextSlotAtMs;

    /** Returns the time at which the next task of a lost worker may be placed, and takes that slot. */
    long nextSlot(long nowMs) {
        long slot = Math.max(nowMs, nextSlotAtMs);
        nextSlotAtMs = slot + INTERVAL_MS;
        return slot;
    }
}
