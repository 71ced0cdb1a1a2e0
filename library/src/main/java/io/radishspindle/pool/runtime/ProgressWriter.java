package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.PoolScheduler.Batch;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Writes the progress of a pool's jobs while this VM owns the pool. Belongs to one event loop.
 *
 * <p>Invariants: every write expects the owner's claim at its revision, so that a replaced owner writes nothing; one
 * write is under way at a time, so that progress never goes back.
 */
final class ProgressWriter {
    /** One entry of a transaction is the condition on the claim. */
    private static final int BATCH = SharedStore.MAX_TXN_ENTRIES - 2;
    /** Coalesces the progress of many jobs into one call; short, since callers wait for the end of their job. */
    private static final long END_DELAY_MS = 15;

    private static final long DELAY_MS = 60;
    private static final long RETRY_MS = 150;

    /** What the writer tells its owner. */
    interface Listener {
        /** A batch is durable. */
        void onDurable();

        /** The claim is no longer in force. */
        void onDeposed(String reason);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long claimRevision;
    private final PoolScheduler scheduler;
    private final Listener listener;
    private boolean busy;
    private boolean closed;
    private long timer = -1;
    private long timerAtMs;

    ProgressWriter(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            String pool,
            long claimRevision,
            PoolScheduler scheduler,
            Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.claimRevision = claimRevision;
        this.scheduler = scheduler;
        this.listener = listener;
    }

    void close() {
        closed = true;
        vertx.cancelTimer(timer);
    }

    /** Arranges a write if progress waits for one. */
    void poke() {
        if (busy || closed || !scheduler.hasDirty()) {
            return;
        }
        schedule(scheduler.hasDirtyEnds() ? END_DELAY_MS : DELAY_MS);
    }

    private void schedule(long delayMs) {
        long atMs = clock.nowMs() + delayMs;
        if (timer >= 0 && timerAtMs <= atMs) {
            return;
        }
        vertx.cancelTimer(timer);
        timerAtMs = atMs;
        timer = vertx.setTimer(Math.max(1, delayMs), ignored -> {
            timer = -1;
            write();
        });
    }

    private void write() {
        if (busy || closed) {
            return;
        }
        Map<String, Long> boots = scheduler.boots();
        Batch batch = scheduler.takeDirty(BATCH);
        if (batch.progress().isEmpty()) {
            durable(batch, boots);
            return;
        }
        List<Write> writes = new ArrayList<>();
        batch.progress()
                .forEach((id, progress) ->
                        writes.add(new Write(StoreKeys.progress(pool, id), Records.encode(progress), 0)));
        busy = true;
        store.transact(new Txn(Map.of(StoreKeys.owner(pool), claimRevision), writes, List.of()))
                .onSuccess(result -> {
                    busy = false;
                    onWritten(batch, boots, result);
                });
    }

    private void onWritten(Batch batch, Map<String, Long> boots, Either<Failure, TxnResult> result) {
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            scheduler.notWritten(batch);
            Failure failure = result.getLeft();
            if (failure.code() != ErrorCode.STORE_UNAVAILABLE && failure.notRun()) {
                Logger.warn("event=progress-rejected pool={} error=\"{}\"", pool, failure.message());
            }
            schedule(RETRY_MS);
        } else if (result.get().applied()) {
            durable(batch, boots);
        } else {
            scheduler.notWritten(batch);
            listener.onDeposed("progress was not accepted: the claim has been replaced");
        }
    }

    private void durable(Batch batch, Map<String, Long> boots) {
        scheduler.written(batch, boots);
        listener.onDurable();
        poke();
    }
}
