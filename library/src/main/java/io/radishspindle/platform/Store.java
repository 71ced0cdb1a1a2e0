package io.radishspindle.platform;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;

/**
 * The platform's key-value service. Implementations are thread-safe. The returned futures never fail; errors are
 * values.
 *
 * <p>A write whose answer is lost yields a failure with {@code notRun} false; the caller reads the key and looks for
 * its own change id in the value.
 */
public interface Store {
    /** Version that {@link #put} expects for a key that must not exist yet. */
    long ABSENT = 0;

    /**
     * A key with its value.
     *
     * @param version version of this key, from 1; 0 if the key does not exist
     * @param revision revision of the whole store at the time of the answer
     */
    record Entry(String key, byte[] value, long version, long revision) {
        public boolean exists() {
            return version != ABSENT;
        }
    }

    /**
     * A batch of changes.
     *
     * @param revision the store's revision up to which the batch is complete; it advances also without changes, so
     *     that a quiet watch can be told from a dead one
     */
    record Changes(List<Entry> entries, long revision) {}

    /** Reads a key; an absent key yields an entry with version {@link #ABSENT}. */
    Future<Either<Failure, Entry>> get(String key);

    /**
     * Writes a key if its version is {@code expectedVersion}; yields the new version. A conflict yields a failure
     * with code {@code CONFLICT} and {@code notRun} true.
     */
    Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion);

    /** Deletes a key if its version is {@code expectedVersion}. */
    Future<Either<Failure, Long>> delete(String key, long expectedVersion);

    /** Reads all keys that start with {@code prefix}, in the order of the keys. */
    Future<Either<Failure, List<Entry>>> list(String prefix);

    /**
     * Waits until a key under {@code prefix} changes after {@code afterRevision}, at most {@code waitMs}
     * milliseconds. A deleted key is reported with version {@link #ABSENT}.
     */
    Future<Either<Failure, Changes>> watch(String prefix, long afterRevision, long waitMs);
}
