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
 * <p>Invariants: at most one read or write of the bucket is open; an operation finishes only after a read has shown
 * its effect or a write with it has succeeded.
 */
final class BucketWriter {
    private static final String STEP = "idempotency.write";
    /** First pause after an error of the store, in milliseconds; doubled up to {@link #MAX_PAUSE_MS}. */
    private static final long FIRST_PAUSE_MS = 10;

    private static final long MAX_PAUSE_MS = 1_000;
    /** Conflicts and errors in a row after which the operations of a group are given up. */
    private static final int MAX_TRIES = 12;

    private static final long RETRY_AFTER_MS = 1_000;

    /** What a writer needs; shared by the writers of all buckets. */
    record Environment(Store store, Clock clock, Timers timers, Executor executor, long retentionMs) {}

    /** Brings the store's answers back to the event loop. */
    interface Executor {
        void execute(Runnable task);

        static Executor of(Context context) {
            return task -> context.runOnContext(v -> task.run());
        }
    }

    private final String key;
    private final Environment environment;
    private final Consumer<BucketOperation<?>> uncertain;
    private final List<BucketOperation<?>> waiting = new ArrayList<>();
    private List<BucketOperation<?>> group = List.of();
    private long flushAtMs = Long.MAX_VALUE;
    private boolean busy;
    private int tries;

    /**
     * Creates a writer.
     *
     * @param uncertain told of each operation that was given up after a write that may have been applied
     */
    BucketWriter(String key, Environment environment, Consumer<BucketOperation<?>> uncertain) {
        this.key = key;
        this.environment = environment;
        this.uncertain = uncertain;
    }

    /** Adds an operation, which is written at most {@code delayMs} later if the store permits. */
    <T> Future<Either<Failure, T>> add(BucketOperation<T> operation, long delayMs) {
        waiting.add(operation);
        long dueAtMs = environment.clock().nowMs() + delayMs;
        if (dueAtMs < flushAtMs) {
            flushAtMs = dueAtMs;
            environment.timers().after(delayMs, this::flush);
        }
        long leftMs = Math.max(0, operation.giveUpAtMs - environment.clock().nowMs());
        environment.timers().after(leftMs, () -> operation.fail(tooLate(null)));
        return operation.future();
    }

    private void flush() {
        if (busy || waiting.isEmpty()) {
            return;
        }
        busy = true;
        tries = 0;
        group = List.copyOf(waiting);
        waiting.clear();
        flushAtMs = Long.MAX_VALUE;
        read();
    }

    private void read() {
        group = dropLate(group);
        if (group.isEmpty()) {
            done();
            return;
        }
        on(environment.store().get(key), "store.get", this::readDone);
    }

    private void readDone(Either<Failure, Store.Entry> answer) {
        if (answer.isLeft()) {
            retry(answer.getLeft());
            return;
        }
        Store.Entry entry = answer.get();
        Either<Failure, BucketValue> decoded = BucketValue.decode(key, entry.exists() ? entry.value() : new byte[0]);
        if (decoded.isLeft()) {
            group.forEach(operation -> operation.fail(decoded.getLeft()));
            done();
            return;
        }
        BucketValue value = decoded.get();
        long wallMs = environment.clock().wallMs();
        value.expire(wallMs - environment.retentionMs());
        boolean changed = false;
        for (BucketOperation<?> operation : group) {
            changed |= operation.apply(value, wallMs);
        }
        if (changed) {
            write(value.encode(), entry.version());
        } else {
            finish();
        }
    }

    private void write(byte[] value, long version) {
        group.forEach(operation -> operation.maybeWritten = true);
        on(environment.store().put(key, value, version), "store.put", this::writeDone);
    }

    private void writeDone(Either<Failure, Long> answer) {
        if (answer.isRight()) {
            finish();
        } else if (answer.getLeft().code() == ErrorCode.CONFLICT && tries < MAX_TRIES) {
            tries++;
            read();
        } else {
            retry(answer.getLeft());
        }
    }

    private void retry(Failure cause) {
        tries++;
        if (tries > MAX_TRIES) {
            group.forEach(operation -> giveUp(operation, cause));
            done();
            return;
        }
        long pauseMs = Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS << Math.min(tries, 10));
        environment.timers().after(pauseMs, this::read);
    }

    private List<BucketOperation<?>> dropLate(List<BucketOperation<?>> operations) {
        long nowMs = environment.clock().nowMs();
        List<BucketOperation<?>> kept = new ArrayList<>();
        for (BucketOperation<?> operation : operations) {
            if (operation.giveUpAtMs <= nowMs || operation.future().isComplete()) {
                giveUp(operation, null);
            } else {
                kept.add(operation);
            }
        }
        return kept;
    }

    private void giveUp(BucketOperation<?> operation, @Nullable Failure cause) {
        operation.fail(tooLate(cause));
        if (operation.maybeWritten) {
            uncertain.accept(operation);
        }
    }

    private static Failure tooLate(@Nullable Failure cause) {
        String message = "the request could not be recorded in time" + (cause == null ? "" : ": " + cause.message());
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, STEP, "store", message, RETRY_AFTER_MS);
    }

    /** The effect of an operation whose caller was already told that it failed must be undone. */
    private void finish() {
        for (BucketOperation<?> operation : group) {
            if (!operation.finish() && operation.maybeWritten) {
                uncertain.accept(operation);
            }
        }
        done();
    }

    private void done() {
        group = List.of();
        busy = false;
        if (!waiting.isEmpty()) {
            long delayMs = Math.max(0, flushAtMs - environment.clock().nowMs());
            environment.timers().after(delayMs, this::flush);
        }
    }

    private <T> void on(Future<Either<Failure, T>> future, String step, Consumer<Either<Failure, T>> next) {
        future.onComplete(result -> environment.executor().execute(() -> next.accept(unwrap(step, result))));
    }

    private static <T> Either<Failure, T> unwrap(String step, AsyncResult<Either<Failure, T>> result) {
        return result.succeeded()
                ? result.result()
                : Either.left(Failure.outcomeUnknown(step, "store", String.valueOf(result.cause())));
    }
}
