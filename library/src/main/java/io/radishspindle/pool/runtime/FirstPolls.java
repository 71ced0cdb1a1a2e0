package io.radishspindle.pool.runtime;

import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Limits the polls of registered workers that have never answered: any number of registrations may have no worker, and
 * each poll of one takes a connection until it times out. Confined to one event loop.
 *
 * <p>Invariants: at most {@link #MAX_IN_FLIGHT} of these polls are in flight; a registration that is polled in vain
 * waits behind all that are waiting, and ever longer.
 */
final class FirstPolls {
    /** More than answer within the timeout of a poll in a pool of 300 workers that registers at once. */
    static final int MAX_IN_FLIGHT = 64;
    /** Delays before a poll is repeated, in milliseconds; they double from the first to the last. */
    private static final long MIN_RETRY_MS = 120;

    private static final long MAX_RETRY_MS = 2_000;

    private final Vertx vertx;
    private final Consumer<String> poll;
    private final Deque<String> waiting = new ArrayDeque<>();
    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, Long> retryDelaysMs = new HashMap<>();
    private boolean polling;

    /** @param poll polls the worker with an id, and calls {@link #onAnswered} or {@link #onFailed} later */
    FirstPolls(Vertx vertx, Consumer<String> poll) {
        this.vertx = vertx;
        this.poll = poll;
    }

    /** Polls a worker once fewer polls are in flight. */
    void add(String worker) {
        waiting.add(worker);
        pollNext();
    }

    boolean isInFlight(String worker) {
        return inFlight.contains(worker);
    }

    /** The worker has answered, or is not registered any more. */
    void onAnswered(String worker) {
        retryDelaysMs.remove(worker);
        if (inFlight.remove(worker)) {
            pollNext();
        }
    }

    void onFailed(String worker) {
        long delayMs = retryDelaysMs.getOrDefault(worker, MIN_RETRY_MS);
        retryDelaysMs.put(worker, Math.min(2 * delayMs, MAX_RETRY_MS));
        inFlight.remove(worker);
        vertx.setTimer(delayMs, ignored -> add(worker));
        pollNext();
    }

    void clear() {
        waiting.clear();
    }

    private void pollNext() {
        if (polling) {
            // A poll has ended at once; the loop below goes on.
            return;
        }
        polling = true;
        try {
            while (inFlight.size() < MAX_IN_FLIGHT && !waiting.isEmpty()) {
                String worker = waiting.remove();
                inFlight.add(worker);
                poll.accept(worker);
            }
        } finally {
            polling = false;
        }
    }
}
