package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Txn;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** Removes the jobs of a pool from the store some time after they have ended. Confined to one event loop. */
final class EndedJobRemoval {
    /** Retention of ended jobs, in milliseconds: the platform requires 120 s, and clients may retry late. */
    private static final long RETENTION_MS = 180_000;

    private static final int BATCH_JOBS = SharedStore.MAX_TXN_ENTRIES / 4 - 1;

    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long fencingToken;
    private final PoolScheduler scheduler;

    EndedJobRemoval(Clock clock, SharedStore store, String pool, long fencingToken, PoolScheduler scheduler) {
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.fencingToken = fencingToken;
        this.scheduler = scheduler;
    }

    /** Removes one batch of the jobs whose retention is over. */
    void removeBatch() {
        List<String> ids = scheduler.removeEnded(clock.wallMs() - RETENTION_MS, BATCH_JOBS);
        if (ids.isEmpty()) {
            return;
        }
        List<String> keys = new ArrayList<>();
        ids.forEach(id -> {
            keys.add(StoreKeys.registration(id));
            keys.add(StoreKeys.job(pool, id));
            keys.add(StoreKeys.cancellation(pool, id));
            keys.add(StoreKeys.progress(pool, id));
        });
        store.transact(new Txn(Map.of(StoreKeys.owner(pool), fencingToken), List.of(), keys))
                .onSuccess(result -> {
                    if (result.isLeft()) {
                        // The next owner loads these jobs again and removes them then.
                        Logger.warn(
                                "event=removal-failed pool={} jobs={} error=\"{}\"",
                                pool,
                                ids.size(),
                                result.getLeft().message());
                    }
                });
    }
}
