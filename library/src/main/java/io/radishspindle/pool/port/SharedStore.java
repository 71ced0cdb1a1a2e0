package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The key-value store that all entry VMs share: linearizable, with one revision counter, conditional transactions,
 * leases and watches. Implementations belong to one event loop. The returned futures never fail; after a failure with
 * {@code notRun} false the outcome is unknown: the call may have been executed or may still be.
 */
public interface SharedStore extends PrefixReader {
    /** Highest number of conditions, writes and removals in one transaction, counted together. */
    int MAX_TXN_ENTRIES = 32;

    /**
     * A key with its value.
     *
     * @param value null if the key does not exist
     * @param revision revision of its last change; 0 if the key does not exist
     */
    record Item(String key, byte @Nullable [] value, long revision) {
        public boolean exists() {
            return value != null;
        }
    }

    /** Items under a prefix as of a revision. */
    record Listing(List<Item> items, long revision) {}

    /** A value to write. It is removed when the lease ends; with lease 0 it stays until it is removed explicitly. */
    record Write(String key, byte[] value, long lease) {}

    /** A transaction, applied atomically if every key has the expected revision (0 if the key must not exist). */
    record Txn(Map<String, Long> expected, List<Write> writes, List<String> removals) {}

    /** Result of a transaction: the revision if it was applied, otherwise the current items of its conditions. */
    record TxnResult(boolean applied, long revision, List<Item> current) {}

    /** Checks with a small read whether the store answers within {@code timeoutMs} milliseconds. */
    Future<Either<Failure, Boolean>> probe(long timeoutMs);

    /**
     * Sets the listener that is run whenever a part of the answer to a successful read arrives, complete or not. It
     * replaces an earlier one.
     */
    void onPartialAnswer(Runnable listener);

    /** Reads a key; empty if it does not exist. */
    Future<Either<Failure, Optional<Item>>> get(String key);

    Future<Either<Failure, TxnResult>> transact(Txn txn);

    /** Creates a lease of {@code ttlMs} milliseconds; returns its id. */
    Future<Either<Failure, Long>> createLease(long ttlMs);

    /** Renews a lease; fails with code {@code NOT_FOUND} if it has expired or was ended. */
    Future<Either<Failure, Long>> renewLease(long lease);

    /** Ends a lease and removes its keys. */
    Future<Either<Failure, Long>> endLease(long lease);
}
