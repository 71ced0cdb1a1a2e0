package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;

/** A clock that advances only when a test sets it. Not thread-safe. */
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
