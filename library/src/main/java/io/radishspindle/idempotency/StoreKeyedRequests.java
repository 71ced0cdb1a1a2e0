package io.radishspindle.idempotency;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Records keyed requests in buckets of the store. The methods may be called from any thread; the work is done on the
 * event loop of the constructor's caller.
 *
 * <p>Invariants: a claim is granted only after its intent is known to be in the store; operations that wait are
 * bounded.
 */
public final class StoreKeyedRequests implements KeyedRequests {
    static final int BUCKETS = 256;
    static final Duration RETENTION = Duration.ofHours(1);
    /** How long intents are collected, in milliseconds. */
    private static final long COLLECT_INTENTS_MS = 10;
    /** Nobody waits for outcomes, so that most of them join the write of a later intent. In milliseconds. */
    private static final long COLLECT_OUTCOMES_MS = 200;
    /** A caller is refused after this time without the store, whatever its deadline. In milliseconds. */
    private static final long MAX_BEGIN_MS = 2_000;
    /** How long outcomes and releases are tried, in milliseconds. */
    private static final long BACKGROUND_MS = 60_000;
    /** How long a caller that is refused waits for the release of its intent, in milliseconds. */
    private static final long RELEASE_WAIT_MS = 500;

    private static final int MAX_OPEN = 10_000;
    private static final int RADIX = 36;

    private final BucketWriter.Environment environment;
    private final AnswerCache answers;
    private final int buckets;
    private final SecureRandom random = new SecureRandom();
    private final Map<Integer, BucketWriter> writers = new HashMap<>();
    private int open;

    public StoreKeyedRequests(Vertx vertx, Clock clock, Store store) {
        this(
                new BucketWriter.Environment(
                        store,
                        clock,
                        timersOf(vertx, vertx.getOrCreateContext()),
                        BucketWriter.Executor.of(vertx.getOrCreateContext()),
                        RETENTION.toMillis()),
                BUCKETS);
    }

    StoreKeyedRequests(BucketWriter.Environment environment, int buckets) {
        this.environment = environment;
        this.buckets = buckets;
        answers = new AnswerCache(environment.clock(), Duration.ofMillis(environment.retentionMs()));
    }

    @Override
    public Future<Either<Failure, BeginResult>> begin(KeyedRequest request, long deadlineAtMs) {
        Either<Failure, BeginResult> known = answers.find(request);
        if (known != null) {
            return Future.succeededFuture(known);
        }
        long giveUpAtMs = Math.min(deadlineAtMs, environment.clock().nowMs() + MAX_BEGIN_MS);
        String claimId = Long.toString(random.nextLong(), RADIX);
        Claim claim = new Claim(request, recordKey(KeyHash.of(request)), claimId);
        return submit(new BucketOperation.Begin(claim, giveUpAtMs), COLLECT_INTENTS_MS);
    }

    @Override
    public Future<Either<Failure, Void>> complete(Claim claim, StoredAnswer answer) {
        answers.keep(claim.request(), answer);
        return submit(new BucketOperation.Complete(claim, answer.status(), backgroundEnd()), COLLECT_OUTCOMES_MS);
    }

    /** Completes after a short while at the latest; the release is tried on in the background. */
    @Override
    public Future<Either<Failure, Void>> release(Claim claim) {
        Promise<Either<Failure, Void>> promise = Promise.promise();
        submit(new BucketOperation.Release(claim, false, backgroundEnd()), COLLECT_INTENTS_MS)
                .onComplete(done -> promise.tryComplete(done.result()));
        Failure pending = Failure.outcomeUnknown("idempotency.release", "store", "the release is not confirmed yet");
        environment.executor().execute(() -> environment
                .timers()
                .after(RELEASE_WAIT_MS, () -> promise.tryComplete(Either.left(pending))));
        return promise.future();
    }

    private <T> Future<Either<Failure, T>> submit(BucketOperation<T> operation, long delayMs) {
        environment.executor().execute(() -> enqueue(operation, delayMs));
        return operation.future();
    }

    private void enqueue(BucketOperation<?> operation, long delayMs) {
        if (open >= MAX_OPEN) {
            operation.fail(Failure.retryable(
                    ErrorCode.OVERLOADED,
                    "idempotency.queue",
                    "store",
                    MAX_OPEN + " records wait for the store",
                    1_000));
            return;
        }
        open++;
        operation.future().onComplete(done -> open--);
        int bucket = operation.hash.bucket(buckets);
        writers.computeIfAbsent(bucket, b -> new BucketWriter(operation.claim.recordKey(), environment, this::undo))
                .add(operation, delayMs);
    }

    /** An intent that was given up must not block its key for the whole retention. */
    private void undo(BucketOperation<?> operation) {
        if (operation instanceof BucketOperation.Begin) {
            enqueue(new BucketOperation.Release(operation.claim, true, backgroundEnd()), COLLECT_OUTCOMES_MS);
            return;
        }
        Logger.warn(
                "event=idempotency-given-up operation={} key={} claim={}",
                operation.getClass().getSimpleName(),
                operation.claim.recordKey(),
                operation.claim.claimId());
    }

    private String recordKey(KeyHash hash) {
        return "idempotency/" + hash.bucket(buckets);
    }

    private long backgroundEnd() {
        return environment.clock().nowMs() + BACKGROUND_MS;
    }

    private static Timers timersOf(Vertx vertx, Context context) {
        return (delayMs, task) -> vertx.setTimer(Math.max(1, delayMs), id -> context.runOnContext(v -> task.run()));
    }
}
