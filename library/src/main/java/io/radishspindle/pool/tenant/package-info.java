/** Quotas and weights of tenants across the owners of pools: decisions without I/O and clock. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.tenant;
