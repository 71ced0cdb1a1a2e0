package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Store in memory that answers at once. Thread-safe. */
final class MapStore implements Store {
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    @Override
    public Future<Either<Failure, Entry>> get(String key) {
        return Future.succeededFuture(Either.right(entries.getOrDefault(key, new Entry(key, new byte[0], ABSENT, 1))));
    }

    @Override
    public synchronized Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion) {
        long version = entries.containsKey(key) ? entries.get(key).version() : ABSENT;
        if (version != expectedVersion) {
            return Future.succeededFuture(
                    Either.left(new Failure(ErrorCode.CONFLICT, "store.put", "store", "version " + version, true, 0)));
        }
        entries.put(key, new Entry(key, value, version + 1, 1));
        return Future.succeededFuture(Either.right(version + 1));
    }

    @Override
    public Future<Either<Failure, Long>> delete(String key, long expectedVersion) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Either<Failure, List<Entry>>> list(String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Future<Either<Failure, Changes>> watch(String prefix, long afterRevision, long waitMs) {
        throw new UnsupportedOperationException();
    }
}
