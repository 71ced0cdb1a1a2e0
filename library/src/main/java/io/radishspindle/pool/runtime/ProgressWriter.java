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
 * Writes the progress of a pool's jobs to the store while this VM owns the pool. Confined to one event loop.
 *
 * <p>Invariants: every write is conditional on the revision of the owner's claim, so that a superseded owner writes
 * nothing; a job is in one write at a time, and each write is conditional on the revisions that the last one left, so
 * that a write with a lost answer that is executed late can't undo a newer one.
 */
final class ProgressWriter {
    /** One transaction entry is the condition on the claim; each job takes a condition and up to two writes. */
    private static final int MAX_BATCH_JOBS = (SharedStore.MAX_TXN_ENTRIES - 1) / 3;
    /** Writes in flight at once; four keep up with 100 jobs a second if the store takes 400 ms per call. */
    private static final int MAX_IN_FLIGHT = 4;
    /** Delay that batches the ends of many jobs into one write; short, as callers wait for the end of their job. */
    private static final long FINAL_WRITE_DELAY_MS = 15;

    private static final long WRITE_DELAY_MS = 60;
    private static final long RETRY_MS = 150;

    /** Receives the outcomes of writes. */
    interface Listener {
        /** A batch is durable. */
        void onDurable();

        /** The claim of this VM has been replaced. */
        void onSuperseded(String reason);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long claimRevision;
    private final PoolScheduler scheduler;
    private final Listener listener;
    /** Revision of each job's progress in the store, by key; absent if the key does not exist. */
    private final Map<String, Long> revisions = new HashMap<>();

    /** Ids of the jobs in the writes in flight. */
    private final Set<String> inFlightJobs = new HashSet<>();

    private int writesInFlight;
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

    /** Records the revisions of the progress that was found in the store when the pool was loaded. */
    void onLoaded(List<Item> items) {
        items.forEach(item -> revisions.put(item.key(), item.revision()));
    }

    void close() {
        closed = true;
        vertx.cancelTimer(timer);
    }

    /** Schedules a write if there is progress to write or an end to acknowledge. */
    void scheduleWrite() {
        if (closed || writesInFlight >= MAX_IN_FLIGHT) {
            return;
        }
        boolean acknowledgementsDue =
                writesInFlight == 0 && scheduler.progress().hasUnacknowledged();
        if (!acknowledgementsDue && !scheduler.progress().hasDirty(inFlightJobs)) {
            return;
        }
        schedule(scheduler.progress().hasDirtyEnds() ? FINAL_WRITE_DELAY_MS : WRITE_DELAY_MS);
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
        if (closed || writesInFlight >= MAX_IN_FLIGHT) {
            return;
        }
        Batch batch = scheduler.progress().take(MAX_BATCH_JOBS, inFlightJobs);
        if (batch.progress().isEmpty()) {
            onBatchDurable(batch);
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
                EndedJob ended =
                        new EndedJob(progress.phase(), scheduler.tenantOf(id).orElse(null), progress.endedWallMs());
                writes.add(new Write(StoreKeys.job(pool, id), Records.encode(ended), 0));
            }
        });
        writesInFlight++;
        inFlightJobs.addAll(batch.progress().keySet());
        store.transact(new Txn(expected, writes, List.of())).onSuccess(result -> {
            writesInFlight--;
            inFlightJobs.removeAll(batch.progress().keySet());
            onWritten(batch, writes, result);
        });
        scheduleWrite();
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
            onBatchDurable(batch);
        } else {
            scheduler.progress().onWriteFailed(batch);
            onConflict(result.get().current());
        }
    }

    /** Either the claim has been replaced, or an earlier write whose answer was lost was executed after all. */
    private void onConflict(List<Item> current) {
        boolean claimInForce = false;
        for (Item item : current) {
            if (item.key().equals(StoreKeys.owner(pool))) {
                claimInForce = item.revision() == claimRevision;
            } else {
                revisions.put(item.key(), item.revision());
            }
        }
        if (claimInForce) {
            schedule(WRITE_DELAY_MS);
        } else {
            listener.onSuperseded("progress write rejected: the claim has been replaced");
        }
    }

    private void onBatchDurable(Batch batch) {
        scheduler.progress().onWritten(batch);
        listener.onDurable();
        scheduleWrite();
    }
}
