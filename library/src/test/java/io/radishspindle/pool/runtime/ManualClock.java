package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;

/** A clock that moves only when a test moves it. Not thread-safe. */
final class ManualClock implements Clock {
    long nowMs = 10_000;

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return nowMs;
    }
}
