package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;

/**
 * Detects that this process did not run for a while: either it was stopped or starved, which the monotonic clock shows,
 * or its machine was suspended, which only the wall clock shows. Confined to one event loop.
 */
final class PauseDetector {
    /** Longest time between two checks that is no pause, in milliseconds; other VMs may claim a pool after 0.9 s. */
    private static final long PAUSE_MS = 1_500;

    private final Clock clock;
    private long lastMs;
    private long lastWallMs;

    PauseDetector(Clock clock) {
        this.clock = clock;
        lastMs = clock.nowMs();
        lastWallMs = clock.wallMs();
    }

    /** Returns the length of a pause since the last check in milliseconds, or 0; call it several times a second. */
    long check() {
        long nowMs = clock.nowMs();
        long wallMs = clock.wallMs();
        long gapMs = Math.max(nowMs - lastMs, wallMs - lastWallMs);
        lastMs = nowMs;
        lastWallMs = wallMs;
        return gapMs > PAUSE_MS ? gapMs : 0;
    }
}
