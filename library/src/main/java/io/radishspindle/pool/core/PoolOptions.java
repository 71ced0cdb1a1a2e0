package io.radishspindle.pool.core;

import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.prediction.RunTimePredictor;
import io.radishspindle.pool.tenant.TenantLimits;
import io.radishspindle.pool.tenant.TenantWeights;

/**
 * Parts of the scheduling of a pool that depend on the deployment. Belongs to one scheduler; not thread-safe.
 *
 * @param limits limits on what each tenant may have running
 * @param runTimes prediction of run times
 * @param weights weights of the tenants, which decide their order
 * @param roster workers on which runs may be started, and on which earlier owners may have started some
 * @param maxLeaseMs longest lease that a worker grants, in milliseconds; it shortens a longer one
 */
public record PoolOptions(
        TenantLimits limits, RunTimePredictor runTimes, TenantWeights weights, WorkerRoster roster, long maxLeaseMs) {
    /** Longest lease of workers whose deployment names none, in milliseconds. */
    public static final long DEFAULT_MAX_LEASE_MS = 10_000;

    /** Options of a pool whose workers grant leases of up to {@link #DEFAULT_MAX_LEASE_MS}. */
    public PoolOptions(TenantLimits limits, RunTimePredictor runTimes, TenantWeights weights, WorkerRoster roster) {
        this(limits, runTimes, weights, roster, DEFAULT_MAX_LEASE_MS);
    }

    /** Options of a pool whose workers can't be missing from the store. */
    public PoolOptions(TenantLimits limits, RunTimePredictor runTimes, TenantWeights weights) {
        this(limits, runTimes, weights, WorkerRoster.ALL);
    }

    /** Options without weights of tenants. */
    public PoolOptions(TenantLimits limits, RunTimePredictor runTimes) {
        this(limits, runTimes, TenantWeights.NONE);
    }

    /** Options of a deployment without tenants that trusts the declared run times. */
    public static PoolOptions defaults() {
        return new PoolOptions(TenantLimits.NONE, new DeclaredRunTimes());
    }
}
