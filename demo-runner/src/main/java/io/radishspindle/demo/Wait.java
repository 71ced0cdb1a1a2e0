package io.radishspindle.demo;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Waits for conditions. Stateless. */
public final class Wait {
    private static final long POLL_MS = 50;

    private Wait() {}

    /** Polls until the condition holds; false if it does not within the limit. */
    public static boolean until(long limitMs, BooleanSupplier condition) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            pause(POLL_MS);
        }
        return true;
    }

    /** Sleeps; an interrupt ends the sleep and the whole program's wait. */
    static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
