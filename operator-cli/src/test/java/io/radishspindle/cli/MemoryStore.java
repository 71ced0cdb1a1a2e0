package io.radishspindle.cli;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A store in memory whose calls complete at once; watches stay quiet. Thread-safe. */
final class MemoryStore implements Store {
    /** How calls fail. */
    enum Fault {
        NONE,
        STORE_DOWN,
        /** The next write takes effect, but its answer is lost. */
        ANSWER_LOST
    }

    private final Map<String, Entry> entries = new TreeMap<>();
    private Fault fault = Fault.NONE;
    private long revision;

    synchronized void setFault(Fault next) {
        fault = next;
    }

    private Failure down() {
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "store", "store", "store is down", 100);
    }

    @Override
    public synchronized Future<Either<Failure, Entry>> get(String key) {
        if (fault == Fault.STORE_DOWN) {
            return Future.succeededFuture(Either.left(down()));
        }
        return Future.succeededFuture(
                Either.right(entries.getOrDefault(key, new Entry(key, new byte[0], ABSENT, revision))));
    }

    @Override
    public synchronized Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion) {
        if (fault == Fault.STORE_DOWN) {
            return Future.succeededFuture(Either.left(down()));
        }
        Entry before = entries.getOrDefault(key, new Entry(key, new byte[0], ABSENT, revision));
        if (before.version() != expectedVersion) {
            return Future.succeededFuture(
                    Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.put", "another version")));
        }
        revision++;
        entries.put(key, new Entry(key, value, expectedVersion + 1, revision));
        if (fault == Fault.ANSWER_LOST) {
            fault = Fault.NONE;
            return Future.succeededFuture(Either.left(Failure.outcomeUnknown("store.put", "store", "no answer")));
        }
        return Future.succeededFuture(Either.right(expectedVersion + 1));
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
        return Future.future(never -> {});
    }
}
