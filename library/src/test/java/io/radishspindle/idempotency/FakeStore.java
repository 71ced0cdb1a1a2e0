package io.radishspindle.idempotency;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;

/** Store in virtual time that loses answers, delays writes and has outages, decided by a seeded random source. */
public final class FakeStore implements Store {
    private static final long TIMEOUT_MS = 200;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final Map<String, Entry> entries = new HashMap<>();
    private long revision;
    /** Probability that the answer to a call is lost after the call took effect. */
    public double loseAnswer;
    /** Probability that a call never reaches the store. */
    public double loseRequest;
    /** Probability that a call takes effect only after its caller's timeout. */
    public double delay;
    /** The store is unavailable: it receives no call. */
    public boolean down;
    /** Turns compare-and-swap off, to show that a test detects its absence. */
    public boolean ignoreVersions;

    public int writes;
    public int conflicts;
    public long bytesWritten;

    public FakeStore(VirtualTime time, UniformRandomProvider random) {
        this.time = time;
        this.random = random;
    }

    @Override
    public Future<Either<Failure, Entry>> get(String key) {
        return call(() -> Either.right(current(key)));
    }

    @Override
    public Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion) {
        return call(() -> apply(key, value, expectedVersion));
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

    private Entry current(String key) {
        return entries.getOrDefault(key, new Entry(key, new byte[0], ABSENT, revision));
    }

    private Either<Failure, Long> apply(String key, byte[] value, long expectedVersion) {
        long version = current(key).version();
        if (version != expectedVersion && !ignoreVersions) {
            conflicts++;
            return Either.left(new Failure(ErrorCode.CONFLICT, "store.put", "store", "version " + version, true, 0));
        }
        writes++;
        bytesWritten += value.length;
        entries.put(key, new Entry(key, value, version + 1, ++revision));
        return Either.right(version + 1);
    }

    /** A delayed call takes effect after its caller has given up waiting. */
    private <T> Future<Either<Failure, T>> call(Supplier<Either<Failure, T>> action) {
        Promise<Either<Failure, T>> promise = Promise.promise();
        Failure lost = Failure.outcomeUnknown("store.call", "store", "no answer");
        time.after(TIMEOUT_MS, () -> promise.tryComplete(Either.left(lost)));
        if (down || random.nextDouble() < loseRequest) {
            return promise.future();
        }
        boolean late = random.nextDouble() < delay;
        long toStoreMs = late ? TIMEOUT_MS + random.nextInt(500) : 1 + random.nextInt(4);
        boolean answerLost = random.nextDouble() < loseAnswer;
        time.after(toStoreMs, () -> {
            Either<Failure, T> result = action.get();
            if (!answerLost) {
                time.after(1, () -> promise.tryComplete(result));
            }
        });
        return promise.future();
    }
}
