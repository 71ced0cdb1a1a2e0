package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.ProgressLedger.Batch;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.Records.EndedJob;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Writes the progress of a pool's jobs while this VM owns the pool. Belongs to one event loop.
 *
 * <p>Invariants: every write expects the owner's claim at its revision, so that a replaced owner writes nothing; a job
 * is in one write at a time, and each write expects the keys as the last one left them, so that a write without an
 * answer that is carried out late can't undo a newer one.
 */
final class ProgressWriter {
    /** One entry of a transaction is the condition on the claim; each job takes a condition and up to two writes. */
    private static final int BATCH = (SharedStore.MAX_TXN_ENTRIES - 1) / 3;
    /** Writes under way at once, so that a store that takes 400 ms an answer keeps up with 100 jobs a second. */
    private static final int MAX_IN_FLIGHT = 4;
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
    /** Revision of each job's progress in the store; absent for a key that does not exist. */
    private final Map<String, Long> revisions = new HashMap<>();

    /** Jobs in the writes under way. */
    private final Set<String> underWay = new HashSet<>();

    private int inFlight;
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

    /** Notes the progress that was found in the store when the pool was loaded. */
    void loaded(List<Item> items) {
        items.forEach(item -> revisions.put(item.key(), item.revision()));
    }

    void close() {
        closed = true;
        vertx.cancelTimer(timer);
    }

    /** Arranges a write if progress waits for one. */
    void poke() {
        if (closed || inFlight >= MAX_IN_FLIGHT) {
            return;
        }
        boolean onlyEnds = inFlight == 0 && scheduler.progress().hasUnacknowledged();
        if (!onlyEnds && !scheduler.progress().hasDirty(underWay)) {
            return;
        }
        schedule(scheduler.progress().hasDirtyEnds() ? END_DELAY_MS : DELAY_MS);
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
        if (closed || inFlight >= MAX_IN_FLIGHT) {
            return;
        }
        Batch batch = scheduler.progress().take(BATCH, underWay);
        if (batch.progress().isEmpty()) {
            durable(batch);
            return;
        }
        List<Write> writes = new ArrayList<>();
        Map<String, Long> expected = new HashMap<>();
        expected.put(StoreKeys.owner(pool), claimRevision);
        batch.progress().forEach((id, progress) -> {
            String key = StoreKeys.progress(pool, id);
            writes.add(new Write(key, Records.encode(progress), 0));
            expected.put(key, revisions.getOrDefault(key, 0L));
            if (progress.phase().isFinal()) {
                writes.add(new Write(StoreKeys.job(pool, id), Records.encode(new EndedJob(progress.phase())), 0));
            }
        });
        inFlight++;
        underWay.addAll(batch.progress().keySet());
        store.transact(new Txn(expected, writes, List.of())).onSuccess(result -> {
            inFlight--;
            underWay.removeAll(batch.progress().keySet());
            onWritten(batch, writes, result);
        });
        poke();
    }

    private void onWritten(Batch batch, List<Write> writes, Either<Failure, TxnResult> result) {
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            scheduler.progress().onWriteFailed(batch);
            Failure failure = result.getLeft();
            if (failure.code() != ErrorCode.STORE_UNAVAILABLE && failure.notRun()) {
                Logger.warn("event=progress-rejected pool={} error=\"{}\"", pool, failure.message());
            }
            schedule(RETRY_MS);
        } else if (result.get().applied()) {
            writes.forEach(write -> revisions.put(write.key(), result.get().revision()));
            durable(batch);
        } else {
            scheduler.progress().onWriteFailed(batch);
            onConflict(result.get().current());
        }
    }

    /** Either the claim has been replaced, or an earlier write without an answer was carried out after all. */
    private void onConflict(List<Item> current) {
        boolean claimStands = false;
        for (Item item : current) {
            if (item.key().equals(StoreKeys.owner(pool))) {
                claimStands = item.revision() == claimRevision;
            } else {
                revisions.put(item.key(), item.revision());
            }
        }
        if (claimStands) {
            schedule(DELAY_MS);
        } else {
            listener.onDeposed("progress was not accepted: the claim has been replaced");
        }
    }

    private void durable(Batch batch) {
        scheduler.progress().onWritten(batch);
        listener.onDurable();
        poke();
    }
}
