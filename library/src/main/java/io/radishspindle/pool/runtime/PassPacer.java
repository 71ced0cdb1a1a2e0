package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.vertx.core.Vertx;

/**
 * Requests scheduling passes: one for all events of a turn of the event loop, and under load at most as many as leave
 * half of the time to the reports and callers that wait meanwhile. Confined to one event loop.
 *
 * <p>Invariant: a requested pass runs within {@link #MAX_PAUSE_MS} of the end of the last one, unless the event loop is
 * late.
 */
final class PassPacer {
    /** Longest pause after a pass, in milliseconds: tasks with the shortest objectives bear this delay. */
    private static final long MAX_PAUSE_MS = 50;

    private final Vertx vertx;
    private final Clock clock;
    private final Runnable pass;
    private boolean requested;
    private boolean closed;
    private long earliestMs;

    /** @param pass makes one scheduling pass */
    PassPacer(Vertx vertx, Clock clock, Runnable pass) {
        this.vertx = vertx;
        this.clock = clock;
        this.pass = pass;
    }

    /** Requests a pass; does nothing if one is requested already. */
    void request() {
        if (requested || closed) {
            return;
        }
        requested = true;
        long delayMs = delayMs();
        if (delayMs == 0) {
            vertx.runOnContext(ignored -> run());
        } else {
            vertx.setTimer(delayMs, ignored -> run());
        }
    }

    /** Returns the pause that is left before the next pass, in milliseconds. */
    long delayMs() {
        return Math.max(0, earliestMs - clock.nowMs());
    }

    /** Makes a pass now. */
    void run() {
        requested = false;
        if (closed) {
            return;
        }
        long startMs = clock.nowMs();
        pass.run();
        long endMs = clock.nowMs();
        earliestMs = endMs + Math.min(MAX_PAUSE_MS, endMs - startMs);
    }

    void close() {
        closed = true;
    }
}
