package io.radishspindle.ingress;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the share of an event loop's time that the input of callers takes, so that leases and calls to the store,
 * which the same event loop handles, are not delayed by more than a window. Confined to one event loop.
 *
 * <p>Invariants: input begins to wait only once the time of a window is used up, and waits in the order in which it
 * arrived; while any waits, one timer is scheduled.
 */
final class ReadPacer {
    private static final long WINDOW_NS = TimeUnit.MILLISECONDS.toNanos(20);
    /** Time of a window in which input of callers is processed. */
    private static final long INPUT_NS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private long windowEndNs = System.nanoTime();
    private long usedNs;
    private boolean scheduled;

    /** Whether input has to wait; its connection then calls {@link #await}. */
    boolean isExhausted() {
        long nowNs = System.nanoTime();
        if (nowNs - windowEndNs >= 0) {
            windowEndNs = nowNs + WINDOW_NS;
            usedNs = 0;
        }
        return usedNs >= INPUT_NS;
    }

    /** Whether other connections wait for their turn. */
    boolean isContended() {
        return !waiting.isEmpty();
    }

    /** Records that input was processed since a time of {@link System#nanoTime}. */
    void usedSince(long startNs) {
        usedNs += System.nanoTime() - startNs;
    }

    /** Runs an action in the next window. */
    void await(EventExecutor loop, Runnable action) {
        waiting.add(action);
        schedule(loop);
    }

    private void schedule(EventExecutor loop) {
        if (scheduled) {
            return;
        }
        scheduled = true;
        loop.schedule(() -> resume(loop), Math.max(0, windowEndNs - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void resume(EventExecutor loop) {
        scheduled = false;
        // Connections that have to wait again are added at the end.
        while (!waiting.isEmpty() && !isExhausted()) {
            waiting.remove().run();
        }
        if (!waiting.isEmpty()) {
            schedule(loop);
        }
    }
}
