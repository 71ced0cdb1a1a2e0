package io.radishspindle.pool.tenant;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides for each arriving job whether its tenant is entitled to it: a token bucket for each tenant that is refilled
 * by its weight, in jobs a second. Not thread-safe.
 *
 * <p>Invariant: in any span of time a tenant is entitled to at most its weight times the seconds of the span, and one
 * second's worth more.
 */
public final class Entitlements {
    /** Time in which an idle tenant saves entitlements, in seconds. */
    private static final double BURST_S = 1;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Unused entitlements at a time. */
    private record Bucket(double tokens, long atWallMs) {}

    private final TenantWeights weights;
    private final Map<String, Bucket> buckets = new HashMap<>();

    public Entitlements(TenantWeights weights) {
        this.weights = weights;
    }

    /**
     * Returns whether a tenant is entitled to a job; true for a tenant without a known weight. Jobs are passed in the
     * order of their arrival.
     */
    public boolean admit(String tenant, long acceptedWallMs) {
        double weight = weights.of(tenant);
        if (weight <= 0) {
            return true;
        }
        double capacity = Math.max(1, weight * BURST_S);
        Bucket before = buckets.getOrDefault(tenant, new Bucket(capacity, acceptedWallMs));
        // VMs' clocks differ, so that a job may have been accepted before one that arrived earlier.
        double elapsedMs = Math.max(0, acceptedWallMs - before.atWallMs());
        double tokens = Math.min(capacity, before.tokens() + weight * elapsedMs / MILLIS_PER_SECOND);
        boolean entitled = tokens >= 1;
        long atWallMs = Math.max(before.atWallMs(), acceptedWallMs);
        buckets.put(tenant, new Bucket(entitled ? tokens - 1 : tokens, atWallMs));
        return entitled;
    }

    /** Forgets all arrivals. */
    public void clear() {
        buckets.clear();
    }
}
