package io.radishspindle.pool.tenant;

/** Weights of the tenants in the configuration in force. Implementations belong to the owner of a slice. */
@FunctionalInterface
public interface TenantWeights {
    /** No weights, for a deployment without tenants. */
    TenantWeights NONE = tenant -> 0;

    /** The weight of a tenant, in jobs a second; 0 if it is unknown. */
    double of(String tenant);
}
