package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import io.radishspindle.placement.PlacementPolicy;

/** Resources charged to a team. Not thread-safe. */
final class Team {
    final String name;
    Resources used = Resources.NONE;

    Team(String name) {
        this.name = name;
    }

    /**
     * Returns the dominant share: the largest fraction of its quota that the team uses of any resource. Above 1 it
     * borrows.
     */
    double share(PlacementPolicy policy) {
        Resources quota = policy.quotaOf(name);
        double cores = fraction(used.milliCores(), quota.milliCores());
        double memory = fraction(used.memoryMib(), quota.memoryMib());
        double accelerators = fraction(used.accelerators(), quota.accelerators());
        return Math.max(cores, Math.max(memory, accelerators));
    }

    private static double fraction(long used, long quota) {
        if (used <= 0) {
            return 0;
        }
        return quota <= 0 ? Double.MAX_VALUE : (double) used / quota;
    }
}
