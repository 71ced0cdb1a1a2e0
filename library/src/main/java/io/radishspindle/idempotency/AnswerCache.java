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
 * Cache of the answers to keyed requests that this VM has delivered, bounded by their size. Thread-safe.
 *
 * <p>Invariant: an answer is returned only for the request that it belongs to.
 */
final class AnswerCache {
    private static final long MAX_BYTES = 16L * 1024 * 1024;
    /** Larger answers are not cached, so that one can't evict many small ones. */
    private static final int MAX_ANSWER_BYTES = 256 * 1024;
    /** Approximate size of an entry without its body. */
    private static final int OVERHEAD_BYTES = 512;

    private record CachedAnswer(long fingerprint, StoredAnswer answer) {}

    private final Cache<KeyHash, CachedAnswer> answers;

    AnswerCache(Clock clock, Duration retention) {
        answers = Caffeine.newBuilder()
                .maximumWeight(MAX_BYTES)
                .weigher((KeyHash hash, CachedAnswer cached) ->
                        cached.answer().body().length() + OVERHEAD_BYTES)
                .expireAfterWrite(retention)
                .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.nowMs()))
                .executor(Runnable::run)
                .build();
    }

    void put(KeyedRequest request, StoredAnswer answer) {
        if (answer.body().length() <= MAX_ANSWER_BYTES) {
            answers.put(KeyHash.of(request), new CachedAnswer(request.fingerprint(), answer));
        }
    }

    /** The result for a request whose key is in the cache; null if it isn't. */
    @Nullable
    Either<Failure, BeginResult> find(KeyedRequest request) {
        CachedAnswer cached = answers.getIfPresent(KeyHash.of(request));
        if (cached == null) {
            return null;
        }
        if (cached.fingerprint() != request.fingerprint()) {
            return Either.left(keyReused(request));
        }
        return Either.right(new BeginResult.Finished(cached.answer().status(), Optional.of(cached.answer())));
    }

    static Failure keyReused(KeyedRequest request) {
        String message = "Idempotency-Key " + request.key() + " was used for another request";
        return Failure.rejected(ErrorCode.CONFLICT, "idempotency.begin", message);
    }
}
