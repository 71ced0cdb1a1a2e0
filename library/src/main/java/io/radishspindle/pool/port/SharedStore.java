package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The shared store of all entry VMs: linearizable, with one revision counter, conditional transactions, leases and
 * watches. Implementations belong to one event loop. The returned futures never fail; a failure with {@code notRun}
 * false leaves open whether the call was executed or will be.
 */
public interface SharedStore extends PrefixReader {
    /** Most keys in one transaction, conditions, writes and removals together. */
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

    /** A value to write; lease 0 keeps it until it is removed. */
    record Write(String key, byte[] value, long lease) {}

    /** A transaction: applied whole if every key has the expected revision (0: absent). */
    record Txn(Map<String, Long> expected, List<Write> writes, List<String> removals) {}

    /** Outcome of a transaction: either its revision, or the conditions' keys in their present state. */
    record TxnResult(boolean applied, long revision, List<Item> current) {}

    /** Makes a small read to find out whether the store answers within {@code timeoutMs} milliseconds. */
    Future<Either<Failure, Boolean>> probe(long timeoutMs);

    /** Reads a key; empty if it does not exist. */
    Future<Either<Failure, Optional<Item>>> get(String key);

    Future<Either<Failure, TxnResult>> transact(Txn txn);

    /** Creates a lease of {@code ttlMs} milliseconds; yields its id. */
    Future<Either<Failure, Long>> createLease(long ttlMs);

    /** Renews a lease; fails with code {@code NOT_FOUND} if it has ended. */
    Future<Either<Failure, Long>> renewLease(long lease);

    /** Ends a lease and removes its keys. */
    Future<Either<Failure, Long>> endLease(long lease);
}
