package io.radishspindle.pool.runtime;

import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.port.SharedStore.Item;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The stored jobs of a pool, as a new owner loads them. Not thread-safe.
 *
 * <p>Invariants: a final phase in the progress of a job overrides whatever else is stored of it; an {@link
 * Records.EndedJob} without such progress was written by a cancellation. Of jobs that have ended only the
 * tenant and the time of the end are decoded, which saves most of the time of a cold start.
 */
final class StoredJobs {
    private final List<Item> jobs = new ArrayList<>();
    private final Set<String> cancelled = new HashSet<>();
    private final Map<String, Item> progress = new HashMap<>();
    private int loaded;

    /**
     * Combines two listings that were made after the claim.
     *
     * @param intake jobs and cancellations of the pool
     * @param progress progress of its jobs
     */
    StoredJobs(String pool, List<Item> intake, List<Item> progress) {
        for (Item item : intake) {
            if (StoreKeys.isCancellation(pool, item.key())) {
                cancelled.add(StoreKeys.lastPart(item.key()));
            } else {
                jobs.add(item);
            }
        }
        progress.forEach(item -> this.progress.put(StoreKeys.lastPart(item.key()), item));
    }

    int count() {
        return jobs.size();
    }

    /** Loads the next job into the scheduler of a new owner; called {@link #count} times. */
    void loadNext(PoolScheduler scheduler, long wallMs) {
        Item item = jobs.get(loaded++);
        String id = StoreKeys.lastPart(item.key());
        JobProgress saved = Optional.ofNullable(progress.get(id))
                .flatMap(stored -> decode(stored, JobProgress.class))
                .orElse(null);
        if (saved != null && saved.phase().isFinal()) {
            scheduler.loadEnded(id, saved.phase(), saved.endedWallMs(), tenantOf(item));
        } else if (cancelled.contains(id) || isEnded(item)) {
            long endedWallMs = endedWallMs(item);
            // An end that another VM's clock puts into the future must not lengthen the retention.
            long knownWallMs = endedWallMs > 0 ? Math.min(endedWallMs, wallMs) : wallMs;
            scheduler.loadEnded(id, JobPhase.CANCELLED, knownWallMs, tenantOf(item));
        } else {
            unfinishedJob(item).ifPresent(job -> scheduler.load(job, saved, false, wallMs));
        }
    }

    /** When the job of an item ended; 0 if it doesn't say so. */
    private static long endedWallMs(Item item) {
        return isEnded(item)
                ? decode(item, Records.EndedJob.class)
                        .map(Records.EndedJob::endedWallMs)
                        .orElse(0L)
                : 0;
    }

    private static @Nullable String tenantOf(Item item) {
        byte @Nullable [] value = item.value();
        return value == null ? null : Records.tenantOfJob(item.key(), value).orElse(null);
    }

    /** The job of an item; empty if it has ended, was removed or can't be decoded, which is logged. */
    static Optional<PoolJob> unfinishedJob(Item item) {
        return isEnded(item) ? Optional.empty() : decode(item, PoolJob.class);
    }

    private static boolean isEnded(Item item) {
        byte @Nullable [] value = item.value();
        return value != null && Records.isEndedJob(value);
    }

    private static <T> Optional<T> decode(Item item, Class<T> type) {
        byte @Nullable [] value = item.value();
        return value == null
                ? Optional.empty()
                : Records.decode(item.key(), value, type).toJavaOptional();
    }
}
