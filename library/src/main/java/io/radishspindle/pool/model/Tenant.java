package io.radishspindle.pool.model;

import io.radishspindle.model.Resources;

/**
 * An organisation whose callers share a quota and a weight. Immutable and thread-safe.
 *
 * @param weight share of a full pool relative to the other tenants; also the jobs a second that the tenant may expect
 *     to be served
 * @param quota highest amount that the tenant may have running on all workers of all pools; 0 in a dimension for no
 *     limit
 */
public record Tenant(String name, double weight, Resources quota) {}
