package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.vavr.control.Either;
import io.vertx.core.Future;

/** Reads the keys under a prefix. Implementations belong to one event loop. The returned futures never fail. */
public interface PrefixReader {
    /** Reads all keys under a prefix, page by page. */
    Future<Either<Failure, Listing>> list(String prefix);

    /**
     * Waits for changes after a revision, at most {@code waitMs} milliseconds. Fails with code {@code CONFLICT} if
     * the store no longer has the changes since that revision.
     */
    Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs);
}
