package io.radishspindle.pool.model;

import org.jspecify.annotations.Nullable;

/**
 * On whose behalf a call submits, reads or cancels jobs. Immutable and thread-safe.
 *
 * @param tenant name of the tenant whose key came with the call; null if there was none
 * @param restricted whether jobs of other tenants are out of reach
 */
public record Caller(@Nullable String tenant, boolean restricted) {
    /** A caller without a tenant, who may access every job. */
    public static final Caller UNRESTRICTED = new Caller(null, false);

    /** Returns whether the caller may read and cancel a job; every caller may access a job without a tenant. */
    public boolean mayAccess(@Nullable String jobTenant) {
        return !restricted || jobTenant == null || jobTenant.equals(tenant);
    }
}
