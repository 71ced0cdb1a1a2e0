package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Runs tasks in portions over several turns of the event loop, so that the loop answers other VMs in between. Confined
 * to one event loop.
 *
 * <p>Invariant: the tasks run in the order in which they were added, and a task that throws does not stop the others.
 */
final class PortionedTasks {
    /**
     * Time after which a portion ends, in milliseconds: short against the interval of pings, so that work of any size
     * delays their answers little.
     */
    static final long PORTION_MS = 20;
    /** Pause between portions, in milliseconds; unlike a task of the loop, a timer lets the loop read its sockets. */
    private static final long PAUSE_MS = 1;

    private final Vertx vertx;
    private final Clock clock;
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private boolean scheduled;

    PortionedTasks(Vertx vertx, Clock clock) {
        this.vertx = vertx;
        this.clock = clock;
    }

    /** Adds a task to the next portion. */
    void add(Runnable task) {
        tasks.add(task);
        schedule();
    }

    /** Drops the tasks that have not run. */
    void clear() {
        tasks.clear();
    }

    private void schedule() {
        if (!scheduled && !tasks.isEmpty()) {
            scheduled = true;
            vertx.setTimer(PAUSE_MS, ignored -> runPortion());
        }
    }

    private void runPortion() {
        scheduled = false;
        long endMs = clock.nowMs() + PORTION_MS;
        try {
            while (!tasks.isEmpty()) {
                tasks.remove().run();
                if (clock.nowMs() >= endMs) {
                    return;
                }
            }
        } finally {
            schedule();
        }
    }
}
