package io.radishspindle.bench;

import io.radishspindle.bench.baseline.BaselinePlacement;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.FairSharePlacement;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementPolicy;
import java.util.List;
import java.util.Map;

/** The policies that the replay compares. Immutable and thread-safe. */
enum Contender {
    FAIR_SHARE("fair-share"),
    FIRST_COME("first-come first-fit"),
    BEST_FIT("best-fit, no reservation");

    /** A team's quota is this part of its group, so that busy teams borrow. */
    private static final int QUOTA_PART = 10;

    private static final int QUEUE_BOUND = 1_000_000;

    final String label;

    Contender(String label) {
        this.label = label;
    }

    GroupPlacement create(long seed, List<WorkerInfo> workers) {
        return switch (this) {
            case FAIR_SHARE -> new FairSharePlacement(seed, policy(workers));
            case FIRST_COME -> new BaselinePlacement(BaselinePlacement.Variant.FIRST_COME_FIRST_SERVED);
            case BEST_FIT -> new BaselinePlacement(BaselinePlacement.Variant.BEST_FIT);
        };
    }

    static PlacementPolicy policy(List<WorkerInfo> workers) {
        Resources all = workers.stream().map(WorkerInfo::capacity).reduce(Resources.NONE, Resources::plus);
        Resources quota = new Resources(
                all.milliCores() / QUOTA_PART,
                all.memoryMib() / QUOTA_PART,
                Math.max(1, all.accelerators() / QUOTA_PART));
        return new PlacementPolicy(quota, Map.of(), QUEUE_BOUND, true);
    }
}
