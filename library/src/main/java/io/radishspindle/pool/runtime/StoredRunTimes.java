package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.prediction.RunTimeEvidence;
import io.radishspindle.pool.prediction.RunTimePredictor;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Keeps the evidence about run times of one pool in the store, so that a new owner needn't learn it again. Confined to
 * one event loop.
 *
 * <p>Invariants: nothing is written before the stored evidence was read, and only under the condition of the owner's
 * claim; a lost or unreadable item costs accuracy only.
 */
final class StoredRunTimes {
    /** Time between writes, and before a failed read is repeated, in milliseconds. */
    static final long INTERVAL_MS = 30_000;
    /** Larger evidence isn't stored, in bytes; it has a few KB for the images of a usual pool. */
    private static final int MAX_BYTES = 128 * 1_024;
    /** Groups that are stored, the most recently used. */
    private static final int MAX_GROUPS = 100;

    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long fencingToken;
    private final RunTimePredictor predictor;
    private final Consumer<String> onSuperseded;
    private boolean started;
    private boolean read;
    private boolean inFlight;
    private long nextCallAtMs;
    private long writtenEnds;

    /** @param onSuperseded called with the reason once a newer claim is detected */
    StoredRunTimes(
            Clock clock,
            SharedStore store,
            String pool,
            long fencingToken,
            RunTimePredictor predictor,
            Consumer<String> onSuperseded) {
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.fencingToken = fencingToken;
        this.predictor = predictor;
        this.onSuperseded = onSuperseded;
    }

    /** Reads the stored evidence; called once the owner has recovered, so that no start waits for it. */
    void start() {
        started = true;
        nextCallAtMs = clock.nowMs();
        tick();
    }

    /** Reads or writes if it is time to; called often. */
    void tick() {
        if (!started || inFlight || !predictor.isLearning() || clock.nowMs() < nextCallAtMs) {
            return;
        }
        if (!read) {
            beginCall();
            store.get(StoreKeys.runTimes(pool)).onComplete(result -> onRead(result.result()));
        } else {
            newEvidence().ifPresent(write -> {
                beginCall();
                long ends = predictor.ends();
                store.transact(new Txn(Map.of(StoreKeys.owner(pool), fencingToken), List.of(write), List.of()))
                        .onComplete(result -> onWritten(result.result(), ends));
            });
        }
    }

    private void beginCall() {
        inFlight = true;
        nextCallAtMs = clock.nowMs() + INTERVAL_MS;
    }

    private void onRead(@Nullable Either<Failure, Optional<Item>> result) {
        inFlight = false;
        if (result == null || result.isLeft()) {
            Logger.info(
                    "event=run-times-unread pool={} error=\"{}\"",
                    pool,
                    result == null ? "no result" : result.getLeft().message());
            return;
        }
        read = true;
        byte @Nullable [] value = result.get().map(Item::value).orElse(null);
        if (value != null) {
            Records.decode(StoreKeys.runTimes(pool), value, RunTimeEvidence.class)
                    .forEach(this::restore);
        }
    }

    private void restore(RunTimeEvidence evidence) {
        if (evidence.version() > RunTimeEvidence.VERSION) {
            Logger.info("event=run-times-ignored pool={} version={}", pool, evidence.version());
            return;
        }
        Try.run(() -> predictor.restore(evidence))
                .onSuccess(done -> Logger.info(
                        "event=run-times-loaded pool={} images={} queues={}",
                        pool,
                        evidence.images().size(),
                        evidence.queues().size()))
                .onFailure(e -> Logger.warn("event=run-times-ignored pool={} error=\"{}\"", pool, e.toString()));
    }

    private void onWritten(@Nullable Either<Failure, TxnResult> result, long ends) {
        inFlight = false;
        if (result == null || result.isLeft()) {
            Logger.info(
                    "event=run-times-unwritten pool={} error=\"{}\"",
                    pool,
                    result == null ? "no result" : result.getLeft().message());
        } else if (result.get().applied()) {
            writtenEnds = ends;
        } else {
            onSuperseded.accept("run times were not written under the claim");
        }
    }

    /** The write of what was learned since the last one, to go with the end of the claim; empty if there is none. */
    Optional<Write> newEvidence() {
        if (!read || predictor.ends() == writtenEnds) {
            return Optional.empty();
        }
        return predictor.evidence(MAX_GROUPS).map(Records::encode).flatMap(bytes -> {
            if (bytes.length > MAX_BYTES) {
                Logger.warn("event=run-times-unwritten pool={} bytes={}", pool, bytes.length);
                nextCallAtMs = clock.nowMs() + INTERVAL_MS;
                return Optional.empty();
            }
            return Optional.of(new Write(StoreKeys.runTimes(pool), bytes, 0));
        });
    }
}
