package io.radishspindle.idempotency;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.BucketValue.Entry;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.Claim;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A change of one record. Belongs to one {@link BucketWriter}; not thread-safe.
 *
 * <p>Invariant: applying an operation to a value that already contains its effect changes nothing and gives the same
 * result, so that it may be repeated after a lost answer.
 *
 * @param <T> result of the operation
 */
abstract class BucketOperation<T> {
    /** Maximum number of records in one bucket; about 100 KB, well below the store's limit of 1 MB for a value. */
    static final int MAX_RECORDS = 2_000;
    /** Retry-After of a full bucket, in milliseconds. */
    private static final long FULL_RETRY_MS = 60_000;

    final Claim claim;
    final KeyHash hash;
    final long giveUpAtMs;
    /** True once a write with this operation was sent, which may have been applied. */
    boolean maybeWritten;

    private final Promise<Either<Failure, T>> promise = Promise.promise();

    @Nullable
    private Either<Failure, T> result;

    BucketOperation(Claim claim, long giveUpAtMs) {
        this.claim = claim;
        this.giveUpAtMs = giveUpAtMs;
        hash = KeyHash.of(claim.request());
    }

    /** Changes the value and sets the result; returns whether the value was changed. */
    abstract boolean apply(BucketValue value, long wallMs);

    Future<Either<Failure, T>> future() {
        return promise.future();
    }

    void setResult(Either<Failure, T> value) {
        result = value;
    }

    /** Completes the future with the result of the last {@link #apply}; false if the operation has already failed. */
    boolean finish() {
        if (result == null) {
            throw new IllegalStateException("operation finished before it was applied");
        }
        return promise.tryComplete(result);
    }

    void fail(Failure failure) {
        promise.tryComplete(Either.left(failure));
    }

    /** Records an intent. */
    static final class Begin extends BucketOperation<BeginResult> {
        Begin(Claim claim, long giveUpAtMs) {
            super(claim, giveUpAtMs);
        }

        @Override
        boolean apply(BucketValue value, long wallMs) {
            Entry entry = value.find(hash);
            if (entry == null && value.size() >= MAX_RECORDS) {
                String message = claim.bucketKey() + " holds " + MAX_RECORDS + " requests";
                setResult(Either.left(
                        Failure.retryable(ErrorCode.OVERLOADED, "idempotency.begin", "store", message, FULL_RETRY_MS)));
                return false;
            }
            if (entry == null) {
                value.put(new Entry(
                        hash.high(),
                        hash.low(),
                        claim.request().fingerprint(),
                        claim.claimId(),
                        BucketValue.NO_STATUS,
                        wallMs));
                setResult(Either.right(new BeginResult.Granted(claim)));
                return true;
            }
            setResult(existing(entry));
            return false;
        }

        private Either<Failure, BeginResult> existing(Entry entry) {
            if (entry.claimId().equals(claim.claimId())) {
                return Either.right(new BeginResult.Granted(claim));
            }
            if (entry.fingerprint() != claim.request().fingerprint()) {
                return Either.left(AnswerCache.keyReused(claim.request()));
            }
            return Either.right(
                    entry.isFinished()
                            ? new BeginResult.Finished(entry.status(), Optional.empty())
                            : new BeginResult.Unresolved());
        }
    }

    /** Records an outcome. */
    static final class Complete extends BucketOperation<Void> {
        private final int status;

        Complete(Claim claim, int status, long giveUpAtMs) {
            super(claim, giveUpAtMs);
            this.status = status;
        }

        @Override
        @SuppressWarnings("NullAway")
        boolean apply(BucketValue value, long wallMs) {
            setResult(Either.right(null));
            Entry entry = value.find(hash);
            if (entry == null || !entry.claimId().equals(claim.claimId()) || entry.status() == status) {
                return false;
            }
            value.put(new Entry(
                    entry.high(), entry.low(), entry.fingerprint(), entry.claimId(), status, entry.recordedAtMs()));
            return true;
        }
    }

    /**
     * Removes an intent whose request did not run. With {@code fence} the bucket is written even if the intent is not
     * there, so that a delayed write of the intent fails on the version.
     */
    static final class Release extends BucketOperation<Void> {
        private final boolean fence;

        Release(Claim claim, boolean fence, long giveUpAtMs) {
            super(claim, giveUpAtMs);
            this.fence = fence;
        }

        @Override
        @SuppressWarnings("NullAway")
        boolean apply(BucketValue value, long wallMs) {
            setResult(Either.right(null));
            Entry entry = value.find(hash);
            if (entry == null || !entry.claimId().equals(claim.claimId()) || entry.isFinished()) {
                return fence;
            }
            value.remove(hash);
            return true;
        }
    }
}
