package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The workers of the group, indexed by the magnitude of their free processor time. Not thread-safe.
 *
 * <p>Invariant: a usable worker is at the level of its free processor time in the index of its tier; other workers
 * are in no index. Workers without accelerators form the first tier, the others the second, so that accelerators
 * are kept for tasks that need them.
 */
final class WorkerTable {
    /** Up to this many workers all levels are compared; beyond it the search ends at the first level with a fit. */
    private static final int FULL_SCAN_LIMIT = 128;

    private static final int LEVELS = 65;

    private final TreeMap<String, WorkerState> byId = new TreeMap<>();
    private final List<List<TreeSet<WorkerState>>> tiers = List.of(newTier(), newTier());
    private int usable;

    private static List<TreeSet<WorkerState>> newTier() {
        List<TreeSet<WorkerState>> levels = new ArrayList<>();
        for (int i = 0; i < LEVELS; i++) {
            levels.add(new TreeSet<>(Comparator.comparing((WorkerState w) -> w.id)));
        }
        return levels;
    }

    @Nullable
    WorkerState get(String id) {
        return byId.get(id);
    }

    void add(WorkerState worker) {
        byId.put(worker.id, worker);
        reindex(worker);
    }

    void forget(WorkerState worker) {
        byId.remove(worker.id);
    }

    Collection<WorkerState> all() {
        return byId.values();
    }

    int usableCount() {
        return usable;
    }

    /** Must follow every change of a worker's condition, capacity or charges. */
    void reindex(WorkerState worker) {
        int level = worker.isUsable() ? level(worker.free.milliCores()) : -1;
        if (level == worker.level) {
            return;
        }
        unindex(worker);
        if (level >= 0) {
            tierOf(worker).get(level).add(worker);
            usable++;
        }
        worker.level = level;
    }

    /** Takes a worker out of the index, before its capacity changes. */
    void unindex(WorkerState worker) {
        if (worker.level >= 0) {
            tierOf(worker).get(worker.level).remove(worker);
            worker.level = -1;
            usable--;
        }
    }

    private List<TreeSet<WorkerState>> tierOf(WorkerState worker) {
        return tiers.get(worker.hasAccelerators() ? 1 : 0);
    }

    private static int level(long milliCores) {
        return milliCores <= 0 ? 0 : Long.SIZE - Long.numberOfLeadingZeros(milliCores);
    }

    /** Returns the usable worker with the lowest leftover score; null if the demand fits on none. */
    @Nullable
    WorkerState bestFit(Resources demand, Predicate<WorkerState> allowed) {
        if (demand.accelerators() == 0) {
            WorkerState withoutAccelerators = bestInTier(tiers.get(0), demand, allowed);
            if (withoutAccelerators != null) {
                return withoutAccelerators;
            }
        }
        return bestInTier(tiers.get(1), demand, allowed);
    }

    /**
     * Whether a task without accelerators leaves the cores and memory that the free accelerators of a worker will
     * need: for each of them a quarter of its proportional share of the worker.
     */
    static boolean leavesAcceleratorsUsable(WorkerState worker, Resources demand) {
        Resources capacity = worker.info.capacity();
        long idleAccelerators = worker.free.accelerators();
        if (demand.accelerators() > 0 || idleAccelerators <= 0) {
            return true;
        }
        long shares = 4L * capacity.accelerators();
        Resources left = worker.free.minus(demand);
        return left.milliCores() >= capacity.milliCores() * idleAccelerators / shares
                && left.memoryMib() >= capacity.memoryMib() * idleAccelerators / shares;
    }

    private @Nullable WorkerState bestInTier(
            List<TreeSet<WorkerState>> tier, Resources demand, Predicate<WorkerState> allowed) {
        WorkerState best = null;
        double bestScore = Double.MAX_VALUE;
        for (int level = level(demand.milliCores()); level < LEVELS; level++) {
            for (WorkerState worker : tier.get(level)) {
                if (!demand.fitsIn(worker.freeForOthers()) || !allowed.test(worker)) {
                    continue;
                }
                double score = leftover(worker, demand);
                if (score < bestScore) {
                    best = worker;
                    bestScore = score;
                }
            }
            if (best != null && usable > FULL_SCAN_LIMIT) {
                return best;
            }
        }
        return best;
    }

    /**
     * Returns a score of how much of the worker would stay unused; lower is better. Leaving unequal fractions of cores
     * and memory, which later tasks could not use together, is penalised; workers with recent failures come last.
     */
    static double leftover(WorkerState worker, Resources demand) {
        Resources capacity = worker.info.capacity();
        Resources free = worker.free;
        double cores = fraction(free.milliCores() - demand.milliCores(), capacity.milliCores());
        double memory = fraction(free.memoryMib() - demand.memoryMib(), capacity.memoryMib());
        double accelerators = fraction(free.accelerators() - demand.accelerators(), capacity.accelerators());
        double failurePenalty = 10.0 * worker.consecutiveFailures.size();
        return cores + memory + accelerators + Math.abs(cores - memory) + failurePenalty;
    }

    private static double fraction(long amount, long total) {
        return total <= 0 ? 0 : (double) amount / total;
    }

    /** How many tasks fit into an amount of resources. */
    static int fitCount(Resources demand, Resources free, int atMost) {
        long count = atMost;
        count = Math.min(count, fitCount(demand.milliCores(), free.milliCores(), count));
        count = Math.min(count, fitCount(demand.memoryMib(), free.memoryMib(), count));
        count = Math.min(count, fitCount(demand.accelerators(), free.accelerators(), count));
        return (int) Math.max(0, count);
    }

    private static long fitCount(long demand, long free, long ifNoDemand) {
        return demand <= 0 ? ifNoDemand : free / demand;
    }
}
