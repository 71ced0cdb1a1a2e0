package io.radishspindle.pool.runtime;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Joins reads of the same key, so that callers who repeat a large read don't multiply its transfers. Confined to one
 * event loop.
 *
 * <p>Invariants: at most one read of a key is in flight. A caller gets the result of a read that began after its call,
 * so that it sees every change from before.
 *
 * @param <T> result of a read
 */
final class JoinedReads<T> {
    /** The read that begins when the one in flight has ended, for all who have called meanwhile. */
    private record NextRead<T>(Supplier<Future<T>> read, Promise<T> result) {}

    private final Set<String> inFlight = new HashSet<>();
    private final Map<String, NextRead<T>> next = new HashMap<>();

    Future<T> read(String key, Supplier<Future<T>> read) {
        return inFlight.contains(key)
                ? next.computeIfAbsent(key, ignored -> new NextRead<>(read, Promise.promise()))
                        .result()
                        .future()
                : begin(key, read);
    }

    private Future<T> begin(String key, Supplier<Future<T>> read) {
        Future<T> result = read.get();
        inFlight.add(key);
        return result.onComplete(ignored -> {
            inFlight.remove(key);
            NextRead<T> following = next.remove(key);
            if (following != null) {
                begin(key, following.read()).onComplete(following.result());
            }
        });
    }
}
