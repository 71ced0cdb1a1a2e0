package io.radishspindle.idempotency;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Records requests with an Idempotency-Key, so that each runs at most once at any VM. The returned futures never
 * fail.
 *
 * <p>Invariant: while a record is kept, at most one claim of a key that is not released is ever granted.
 */
public interface KeyedRequests {
    /**
     * A request with a key.
     *
     * @param fingerprint hash of method, path and body; reuse of a key with another fingerprint is an error of the
     *     caller
     */
    record KeyedRequest(String service, String caller, String key, long fingerprint) {}

    /**
     * The right to send the request once.
     *
     * @param claimId unique among all claims
     */
    record Claim(KeyedRequest request, String bucketKey, String claimId) {}

    /** The complete answer to a keyed request. Immutable by convention. */
    record StoredAnswer(int status, List<Map.Entry<String, String>> headers, Buffer body) {}

    /** Result of {@link #begin}. */
    sealed interface BeginResult {
        /** The request is new and its intent is in the store. */
        record Granted(Claim claim) implements BeginResult {}

        /** The request has run; the answer is present while it is in this VM's cache. */
        record Finished(int status, Optional<StoredAnswer> answer) implements BeginResult {}

        /** The request is in progress, or was sent and its outcome is unknown. */
        record Unresolved() implements BeginResult {}
    }

    /**
     * Records the intent to run the request, or finds the earlier record of its key. A failure means that nothing was
     * sent and that no claim is held; a key that was used for another request yields {@code CONFLICT}.
     */
    Future<Either<Failure, BeginResult>> begin(KeyedRequest request, long deadlineAtMs);

    /** Records the outcome. If the store stays unavailable, the intent stays and the outcome stays unknown. */
    Future<Either<Failure, Void>> complete(Claim claim, StoredAnswer answer);

    /** Removes the intent of a request that certainly did not run, so that a repeat is possible. */
    Future<Either<Failure, Void>> release(Claim claim);
}
