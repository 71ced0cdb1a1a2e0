package io.radishspindle.idempotency;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.KeyedRequest;
import io.radishspindle.idempotency.KeyedRequests.StoredAnswer;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Answers to keyed requests that this VM has passed on, bounded by their size. Thread-safe.
 *
 * <p>Invariant: an answer is returned only for the request that it belongs to.
 */
final class AnswerCache {
    private static final long MAX_BYTES = 16L * 1024 * 1024;
    /** Larger answers are not kept, so that one can't push out many small ones. */
    private static final int MAX_ANSWER_BYTES = 256 * 1024;
    /** What a record costs beside its body, roughly. */
    private static final int OVERHEAD_BYTES = 512;

    private record Kept(long fingerprint, StoredAnswer answer) {}

    private final Cache<KeyHash, Kept> answers;

    AnswerCache(Clock clock, Duration retention) {
        answers = Caffeine.newBuilder()
                .maximumWeight(MAX_BYTES)
                .weigher((KeyHash hash, Kept kept) -> kept.answer().body().length() + OVERHEAD_BYTES)
                .expireAfterWrite(retention)
                .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.nowMs()))
                .executor(Runnable::run)
                .build();
    }

    void keep(KeyedRequest request, StoredAnswer answer) {
        if (answer.body().length() <= MAX_ANSWER_BYTES) {
            answers.put(KeyHash.of(request), new Kept(request.fingerprint(), answer));
        }
    }

    /** What is known of the request without the store; null if nothing is. */
    @Nullable
    Either<Failure, BeginResult> find(KeyedRequest request) {
        Kept kept = answers.getIfPresent(KeyHash.of(request));
        if (kept == null) {
            return null;
        }
        if (kept.fingerprint() != request.fingerprint()) {
            return Either.left(otherRequest(request));
        }
        return Either.right(new BeginResult.Finished(kept.answer().status(), Optional.of(kept.answer())));
    }

    static Failure otherRequest(KeyedRequest request) {
        String message = "Idempotency-Key " + request.key() + " was used for another request";
        return Failure.rejected(ErrorCode.CONFLICT, "idempotency.begin", message);
    }
}
