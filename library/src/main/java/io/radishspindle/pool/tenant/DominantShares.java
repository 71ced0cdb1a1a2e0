package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Compares what tenants hold of a pool under dominant resource fairness. Stateless; thread-safe. */
public final class DominantShares {
    /** Differences below this are rounding errors. */
    private static final double TOLERANCE = 1e-9;

    private DominantShares() {}

    /**
     * Returns the tenants whose dominant share over their weight is above the mean of the active tenants.
     *
     * @param active tenants with runs or waiting tasks; those without a known weight are left out
     */
    public static Set<String> aboveMean(
            Collection<String> active, Map<String, Resources> running, Resources capacity, TenantWeights weights) {
        Map<String, Double> weighted = new HashMap<>();
        for (String tenant : active) {
            double weight = weights.of(tenant);
            if (weight > 0) {
                weighted.put(tenant, dominant(running.getOrDefault(tenant, Resources.NONE), capacity) / weight);
            }
        }
        double mean = weighted.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        return weighted.entrySet().stream()
                .filter(entry -> entry.getValue() > mean + TOLERANCE)
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private static double dominant(Resources amount, Resources capacity) {
        double highest = 0;
        for (Dimension dimension : Dimension.values()) {
            if (dimension.of(capacity) > 0) {
                highest = Math.max(highest, (double) dimension.of(amount) / dimension.of(capacity));
            }
        }
        return highest;
    }
}
