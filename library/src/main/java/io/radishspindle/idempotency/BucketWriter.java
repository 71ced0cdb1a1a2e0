package io.radishspindle.idempotency;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Group commit to one bucket: operations collected for a while are read, changed and written together. Belongs to one
 * event loop; not thread-safe.
 *
 * <p>Invariants: at most one read or write of the bucket is in flight; an operation finishes only after a read has
 * shown its effect or a write with it has succeeded.
 */
final class BucketWriter {
    private static final String STEP = "idempotency.write";
    /** First backoff after an error of the store, in milliseconds; doubled up to {@link #MAX_BACKOFF_MS}. */
    private static final long INITIAL_BACKOFF_MS = 10;

    private static final long MAX_BACKOFF_MS = 1_000;
    /** Consecutive conflicts and errors after which the operations of a batch are given up. */
    private static final int MAX_RETRIES = 12;

    private static final long RETRY_AFTER_MS = 1_000;

    /** Dependencies shared by the writers of all buckets. */
    record Environment(Store store, Clock clock, Timers timers, EventLoop eventLoop, long retentionMs) {}

    /** Runs tasks on the event loop, to which the store's answers return. */
    interface EventLoop {
        void execute(Runnable task);

        static EventLoop of(Context context) {
            return task -> context.runOnContext(v -> task.run());
        }
    }

    private final String key;
    private final Environment environment;
    private final Consumer<BucketOperation<?>> onOutcomeUnknown;
    private final List<BucketOperation<?>> queued = new ArrayList<>();
    private List<BucketOperation<?>> batch = List.of();
    private long flushAtMs = Long.MAX_VALUE;
    private boolean batchInProgress;
    private int retries;

    /**
     * Creates a writer.
     *
     * @param onOutcomeUnknown receives each operation that was given up after a write that may have been applied
     */
    BucketWriter(String key, Environment environment, Consumer<BucketOperation<?>> onOutcomeUnknown) {
        this.key = key;
        this.environment = environment;
        this.onOutcomeUnknown = onOutcomeUnknown;
    }

    /** Adds an operation, which is written at most {@code delayMs} later if the store permits. */
    <T> Future<Either<Failure, T>> add(BucketOperation<T> operation, long delayMs) {
        queued.add(operation);
        long dueAtMs = environment.clock().nowMs() + delayMs;
        if (dueAtMs < flushAtMs) {
            flushAtMs = dueAtMs;
            environment.timers().after(delayMs, this::flush);
        }
        long leftMs = Math.max(0, operation.giveUpAtMs - environment.clock().nowMs());
        environment.timers().after(leftMs, () -> operation.fail(recordTimeout(null)));
        return operation.future();
    }

    private void flush() {
        if (batchInProgress || queued.isEmpty()) {
            return;
        }
        batchInProgress = true;
        retries = 0;
        batch = List.copyOf(queued);
        queued.clear();
        flushAtMs = Long.MAX_VALUE;
        read();
    }

    private void read() {
        batch = dropExpired(batch);
        if (batch.isEmpty()) {
            endBatch();
            return;
        }
        whenComplete(environment.store().get(key), "store.get", this::onRead);
    }

    private void onRead(Either<Failure, Store.Entry> answer) {
        if (answer.isLeft()) {
            retry(answer.getLeft());
            return;
        }
        Store.Entry entry = answer.get();
        Either<Failure, BucketValue> decoded = BucketValue.decode(key, entry.exists() ? entry.value() : new byte[0]);
        if (decoded.isLeft()) {
            batch.forEach(operation -> giveUp(operation, decoded.getLeft()));
            endBatch();
            return;
        }
        BucketValue value = decoded.get();
        long wallMs = environment.clock().wallMs();
        value.expire(wallMs - environment.retentionMs());
        boolean changed = false;
        for (BucketOperation<?> operation : batch) {
            changed |= operation.apply(value, wallMs);
        }
        if (changed) {
            write(value.encode(), entry.version());
        } else {
            publishResults();
        }
    }

    private void write(byte[] value, long version) {
        batch.forEach(operation -> operation.maybeWritten = true);
        whenComplete(environment.store().put(key, value, version), "store.put", this::onWritten);
    }

    private void onWritten(Either<Failure, Long> answer) {
        if (answer.isRight()) {
            publishResults();
        } else if (answer.getLeft().code() == ErrorCode.CONFLICT && retries < MAX_RETRIES) {
            retries++;
            read();
        } else {
            retry(answer.getLeft());
        }
    }

    private void retry(Failure cause) {
        retries++;
        if (retries > MAX_RETRIES) {
            batch.forEach(operation -> giveUp(operation, recordTimeout(cause)));
            endBatch();
            return;
        }
        long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(retries, 10));
        environment.timers().after(backoffMs, this::read);
    }

    private List<BucketOperation<?>> dropExpired(List<BucketOperation<?>> operations) {
        long nowMs = environment.clock().nowMs();
        List<BucketOperation<?>> kept = new ArrayList<>();
        for (BucketOperation<?> operation : operations) {
            if (operation.giveUpAtMs <= nowMs || operation.future().isComplete()) {
                giveUp(operation, recordTimeout(null));
            } else {
                kept.add(operation);
            }
        }
        return kept;
    }

    private void giveUp(BucketOperation<?> operation, Failure failure) {
        operation.fail(failure);
        if (operation.maybeWritten) {
            onOutcomeUnknown.accept(operation);
        }
    }

    private static Failure recordTimeout(@Nullable Failure cause) {
        String message = "the request could not be recorded in time" + (cause == null ? "" : ": " + cause.message());
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, STEP, "store", message, RETRY_AFTER_MS);
    }

    /**
     * Publishes the results. An operation that already failed for its caller must be undone if its write was applied.
     */
    private void publishResults() {
        for (BucketOperation<?> operation : batch) {
            if (!operation.finish() && operation.maybeWritten) {
                onOutcomeUnknown.accept(operation);
            }
        }
        endBatch();
    }

    private void endBatch() {
        batch = List.of();
        batchInProgress = false;
        if (!queued.isEmpty()) {
            long delayMs = Math.max(0, flushAtMs - environment.clock().nowMs());
            environment.timers().after(delayMs, this::flush);
        }
    }

    private <T> void whenComplete(Future<Either<Failure, T>> future, String step, Consumer<Either<Failure, T>> next) {
        future.onComplete(result -> environment.eventLoop().execute(() -> next.accept(unwrap(step, result))));
    }

    private static <T> Either<Failure, T> unwrap(String step, AsyncResult<Either<Failure, T>> result) {
        return result.succeeded()
                ? result.result()
                : Either.left(Failure.outcomeUnknown(step, "store", String.valueOf(result.cause())));
    }
}
