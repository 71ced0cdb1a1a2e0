package io.radishspindle.ownership;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * One compare-and-swap that is repeated until its outcome is known. Not thread-safe.
 *
 * <p>A write whose answer was lost may still take effect later. Reading an older version therefore proves nothing;
 * the same write is repeated until it succeeds or conflicts, so that at most one of the copies can apply. A
 * conflict after a lost answer is certain only if the value carries the own change id: another writer may have read
 * this write before it replaced the value.
 */
final class CertainWrite {
    /** What became of the write. */
    enum Outcome {
        APPLIED,
        /** Another value is in place, and this one never was. */
        CONFLICT,
        /** Another value is in place; this one may have been there before. */
        CONFLICT_AFTER_LOST_ANSWER
    }

    /** Told once when the outcome is known. */
    @FunctionalInterface
    interface Listener {
        void done(Outcome outcome, long version);
    }

    private final Effects fx;
    private final String key;
    private final byte[] value;
    private final long expectedVersion;
    private final String changeId;
    private final Function<byte[], String> changeIdOf;
    private final Listener listener;
    private boolean mayHaveApplied;
    private boolean finished;
    private @Nullable Runnable retry;
    private long retryAtMs;

    CertainWrite(
            Effects fx,
            String key,
            byte[] value,
            long expectedVersion,
            String changeId,
            Function<byte[], String> changeIdOf,
            Listener listener) {
        this.fx = fx;
        this.key = key;
        this.value = value;
        this.expectedVersion = expectedVersion;
        this.changeId = changeId;
        this.changeIdOf = changeIdOf;
        this.listener = listener;
    }

    CertainWrite start() {
        send();
        return this;
    }

    void tick() {
        Runnable due = retry;
        if (due != null && fx.now() >= retryAtMs) {
            retry = null;
            due.run();
        }
    }

    /** Stops; no outcome is reported. A copy that is under way may still apply. */
    void abandon() {
        finished = true;
        retry = null;
    }

    private void send() {
        fx.write(key, value, expectedVersion, this::written);
    }

    private void written(Either<Failure, Long> result) {
        if (finished) {
            return;
        }
        if (result.isRight()) {
            finish(Outcome.APPLIED, result.get());
        } else if (result.getLeft().code() != ErrorCode.CONFLICT) {
            mayHaveApplied |= !result.getLeft().notRun();
            retryLater(this::send);
        } else if (mayHaveApplied) {
            fx.read(key, this::compared);
        } else {
            finish(Outcome.CONFLICT, 0);
        }
    }

    private void compared(Either<Failure, Store.Entry> result) {
        if (finished) {
            return;
        }
        if (result.isLeft()) {
            retryLater(() -> fx.read(key, this::compared));
            return;
        }
        Store.Entry found = result.get();
        boolean own = found.exists() && changeIdOf.apply(found.value()).equals(changeId);
        finish(own ? Outcome.APPLIED : Outcome.CONFLICT_AFTER_LOST_ANSWER, found.version());
    }

    private void retryLater(Runnable action) {
        retry = action;
        retryAtMs = fx.now() + OwnershipTiming.RETRY_MS;
    }

    private void finish(Outcome outcome, long version) {
        finished = true;
        listener.done(outcome, version);
    }
}
