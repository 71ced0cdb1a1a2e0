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
    /** How long intents are collected for one write, in milliseconds. */
    private static final long INTENT_BATCH_MS = 10;
    /**
     * How long outcomes are collected, in milliseconds; longer, as no caller waits for them and most can then join the
     * write of a later intent.
     */
    private static final long OUTCOME_BATCH_MS = 200;
    /** A caller is refused if the store is unavailable for this long, whatever its deadline, in milliseconds. */
    private static final long BEGIN_TIMEOUT_MS = 2_000;
    /** How long outcomes and releases are retried, in milliseconds. */
    private static final long BACKGROUND_TIMEOUT_MS = 60_000;
    /** How long a caller that is refused waits for the release of its intent, in milliseconds. */
    private static final long RELEASE_WAIT_MS = 500;

    private static final int MAX_PENDING_OPERATIONS = 10_000;
    private static final int RADIX = 36;

    private final BucketWriter.Environment environment;
    private final AnswerCache answers;
    private final int buckets;
    private final SecureRandom random = new SecureRandom();
    private final Map<Integer, BucketWriter> writers = new HashMap<>();
    private int pendingOperations;

    public StoreKeyedRequests(Vertx vertx, Clock clock, Store store) {
        this(
                new BucketWriter.Environment(
                        store,
                        clock,
                        timersOf(vertx, vertx.getOrCreateContext()),
                        BucketWriter.EventLoop.of(vertx.getOrCreateContext()),
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
        long giveUpAtMs = Math.min(deadlineAtMs, environment.clock().nowMs() + BEGIN_TIMEOUT_MS);
        String claimId = Long.toString(random.nextLong(), RADIX);
        Claim claim = new Claim(request, bucketKey(KeyHash.of(request)), claimId);
        return submit(new BucketOperation.Begin(claim, giveUpAtMs), INTENT_BATCH_MS);
    }

    @Override
    public Future<Either<Failure, Void>> complete(Claim claim, StoredAnswer answer) {
        answers.put(claim.request(), answer);
        return submit(new BucketOperation.Complete(claim, answer.status(), backgroundDeadline()), OUTCOME_BATCH_MS);
    }

    /** Completes after {@link #RELEASE_WAIT_MS} at the latest; the release is retried in the background. */
    @Override
    public Future<Either<Failure, Void>> release(Claim claim) {
        Promise<Either<Failure, Void>> promise = Promise.promise();
        submit(new BucketOperation.Release(claim, false, backgroundDeadline()), INTENT_BATCH_MS)
                .onComplete(done -> promise.tryComplete(done.result()));
        Failure pending = Failure.outcomeUnknown("idempotency.release", "store", "the release is not confirmed yet");
        environment.eventLoop().execute(() -> environment
                .timers()
                .after(RELEASE_WAIT_MS, () -> promise.tryComplete(Either.left(pending))));
        return promise.future();
    }

    private <T> Future<Either<Failure, T>> submit(BucketOperation<T> operation, long delayMs) {
        environment.eventLoop().execute(() -> enqueue(operation, delayMs));
        return operation.future();
    }

    private void enqueue(BucketOperation<?> operation, long delayMs) {
        if (pendingOperations >= MAX_PENDING_OPERATIONS) {
            operation.fail(Failure.retryable(
                    ErrorCode.OVERLOADED,
                    "idempotency.queue",
                    "store",
                    MAX_PENDING_OPERATIONS + " records wait for the store",
                    1_000));
            return;
        }
        pendingOperations++;
        operation.future().onComplete(done -> pendingOperations--);
        int bucket = operation.hash.bucket(buckets);
        writers.computeIfAbsent(
                        bucket, b -> new BucketWriter(operation.claim.bucketKey(), environment, this::onOutcomeUnknown))
                .add(operation, delayMs);
    }

    /**
     * Releases an intent that was given up but may be in the store, where it would block its key for the whole
     * retention.
     */
    private void onOutcomeUnknown(BucketOperation<?> operation) {
        if (operation instanceof BucketOperation.Begin) {
            enqueue(new BucketOperation.Release(operation.claim, true, backgroundDeadline()), OUTCOME_BATCH_MS);
            return;
        }
        Logger.warn(
                "event=idempotency-given-up operation={} key={} claim={}",
                operation.getClass().getSimpleName(),
                operation.claim.bucketKey(),
                operation.claim.claimId());
    }

    private String bucketKey(KeyHash hash) {
        return "idempotency/" + hash.bucket(buckets);
    }

    private long backgroundDeadline() {
        return environment.clock().nowMs() + BACKGROUND_TIMEOUT_MS;
    }

    private static Timers timersOf(Vertx vertx, Context context) {
        return (delayMs, task) -> vertx.setTimer(Math.max(1, delayMs), id -> context.runOnContext(v -> task.run()));
    }
}
