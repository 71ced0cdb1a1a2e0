package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.tinylog.Logger;

/**
 * Decides the number of slices of each new pool from the number of its registered workers, once that is stable: when a
 * deployment is first started, VMs and workers start together. Any VM may decide; the first conditional write wins.
 * Confined to one event loop.
 */
final class SliceSizing {
    /** Delay before the first VM decides, in milliseconds, so that VMs that start together discover each other. */
    private static final long FIRST_DECISION_DELAY_MS = 50;
    /** Delay per rank among the VMs, in milliseconds; long, as a decision is rare and may wait for a second VM. */
    private static final long RANK_DELAY_MS = 1_000;
    /** The number of workers is stable once it has not changed for this long, in milliseconds. */
    private static final long STABLE_MS = 800;
    /** Longest wait for workers to register, in milliseconds; with 242 workers it takes 6 s. */
    private static final long MAX_WAIT_MS = 10_000;
    /** Delay before a failed call is retried, in milliseconds. */
    private static final long RETRY_MS = 250;
    /** Each pool takes a condition and a write of the transaction. */
    private static final int MAX_BATCH_POOLS = SharedStore.MAX_TXN_ENTRIES / 2;

    private final Clock clock;
    private final SharedStore store;
    private final PlatformCodec codec;
    private final ControlView view;
    private final NodeIdentity self;
    private Map<String, Integer> lastWorkers = Map.of();
    private long notBeforeMs = Long.MAX_VALUE;
    private long decideByMs;
    private boolean busy;

    SliceSizing(Clock clock, SharedStore store, PlatformCodec codec, ControlView view, NodeIdentity self) {
        this.clock = clock;
        this.store = store;
        this.codec = codec;
        this.view = view;
        this.self = self;
    }

    /** Checks for pools without a number of slices; called several times a second. */
    void tick(List<String> pools) {
        List<String> unsized = pools.stream()
                .filter(pool -> view.sliceCount(pool).isEmpty())
                .limit(MAX_BATCH_POOLS)
                .toList();
        if (unsized.isEmpty()) {
            notBeforeMs = Long.MAX_VALUE;
            return;
        }
        if (notBeforeMs == Long.MAX_VALUE) {
            int rank =
                    new TreeSet<>(view.active().keySet()).headSet(self.vmId()).size();
            notBeforeMs = clock.nowMs() + FIRST_DECISION_DELAY_MS + rank * RANK_DELAY_MS;
            decideByMs = notBeforeMs + MAX_WAIT_MS;
        }
        if (!busy && clock.nowMs() >= notBeforeMs) {
            busy = true;
            store.list(codec.workerPrefix()).onSuccess(listing -> onListed(unsized, listing));
        }
    }

    /** Decides from the workers that are registered now, as requests arrive for a pool without a number of slices. */
    void expedite() {
        decideByMs = clock.nowMs();
        if (notBeforeMs != Long.MAX_VALUE) {
            notBeforeMs = Math.min(notBeforeMs, decideByMs);
        }
    }

    private void onListed(List<String> pools, Either<Failure, Listing> listing) {
        if (listing.isLeft()) {
            onFailure(pools, listing.getLeft());
            return;
        }
        Map<String, Integer> workers = count(pools, listing.get().items());
        boolean stable = workers.size() == pools.size() && workers.equals(lastWorkers);
        if (stable || clock.nowMs() >= decideByMs) {
            write(pools, workers);
            return;
        }
        lastWorkers = workers;
        busy = false;
        notBeforeMs = Math.min(clock.nowMs() + STABLE_MS, decideByMs);
    }

    /** Number of registered workers by pool; absent for a pool without any. */
    private Map<String, Integer> count(List<String> pools, List<Item> items) {
        Map<String, Integer> workers = new HashMap<>();
        for (Item item : items) {
            byte[] value = item.value();
            if (value != null) {
                codec.worker(item.key(), value)
                        .filter(entry -> pools.contains(entry.pool()))
                        .ifPresent(entry -> workers.merge(entry.pool(), 1, Integer::sum));
            }
        }
        return workers;
    }

    private void write(List<String> pools, Map<String, Integer> workers) {
        Map<String, Long> absent = new HashMap<>();
        List<Write> writes = new ArrayList<>();
        for (String pool : pools) {
            String key = StoreKeys.slices(pool);
            int count = PoolSlices.countFor(workers.getOrDefault(pool, 0));
            absent.put(key, 0L);
            writes.add(new Write(key, Records.encode(new Records.Slices(count)), 0));
        }
        store.transact(new Txn(absent, writes, List.of()))
                .onSuccess(result -> onWritten(pools, workers, writes, result));
    }

    private void onWritten(
            List<String> pools, Map<String, Integer> workers, List<Write> writes, Either<Failure, TxnResult> result) {
        if (result.isLeft()) {
            onFailure(pools, result.getLeft());
            return;
        }
        busy = false;
        notBeforeMs = Long.MAX_VALUE;
        TxnResult txn = result.get();
        if (!txn.applied()) {
            txn.current().stream().filter(Item::exists).forEach(view::onChanged);
            return;
        }
        writes.forEach(write -> view.onChanged(new Item(write.key(), write.value(), txn.revision())));
        pools.forEach(pool -> Logger.info(
                "event=pool-sized pool={} workers={} slices={}",
                pool,
                workers.getOrDefault(pool, 0),
                view.sliceCount(pool).orElse(0)));
    }

    /** Schedules a retry. If the write was executed after all, the retry finds its result. */
    private void onFailure(List<String> pools, Failure failure) {
        busy = false;
        notBeforeMs = clock.nowMs() + RETRY_MS;
        Logger.warn("event=pool-sizing-failed pools={} error=\"{}\"", pools, failure.message());
    }
}
