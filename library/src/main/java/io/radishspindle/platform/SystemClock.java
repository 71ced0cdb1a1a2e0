package io.radishspindle.platform;

import java.util.concurrent.TimeUnit;

/** The clocks of the machine. Thread-safe. */
public final class SystemClock implements Clock {
    @Override
    public long nowMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }
}
