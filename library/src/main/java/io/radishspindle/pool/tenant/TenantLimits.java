package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;
import java.util.Map;

/**
 * Limits on what each tenant may have running on the workers of one owner. Implementations belong to the scheduler of
 * the owner; not thread-safe.
 *
 * <p>Invariant: everything that occupies or may occupy a worker is reported by {@link #onOccupied} until it is reported
 * by {@link #onReleased}.
 */
public interface TenantLimits {
    /** No limits, for a deployment without tenants. */
    TenantLimits NONE = new TenantLimits() {
        @Override
        public boolean allows(String tenant, Resources amount) {
            return true;
        }

        @Override
        public boolean isAttainable(String tenant, Resources amount) {
            return true;
        }

        @Override
        public void onOccupied(String tenant, Resources amount) {
            // nothing is limited
        }

        @Override
        public void onReleased(String tenant, Resources amount) {
            // nothing is limited
        }

        @Override
        public void onUnseen(Map<String, Resources> byTenant) {
            // nothing is limited
        }
    };

    /** Returns whether the tenant may start tasks that need {@code amount} together, beside what it has running. */
    boolean allows(String tenant, Resources amount);

    /** Returns whether the tenant could start tasks that need {@code amount} together if it had nothing running. */
    boolean isAttainable(String tenant, Resources amount);

    /** A run of the tenant occupies a worker, or may do so. */
    void onOccupied(String tenant, Resources amount);

    /** A run of the tenant has ended. */
    void onReleased(String tenant, Resources amount);

    /** Replaces what runs of each tenant, started by an earlier owner, may occupy on workers that haven't reported. */
    void onUnseen(Map<String, Resources> byTenant);
}
