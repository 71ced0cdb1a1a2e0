package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;

/**
 * What the tasks of a tenant in one slice need. Immutable and thread-safe.
 *
 * @param waiting waiting tasks that the workers of the slice have or will soon have room for
 * @param unit largest waiting task, or gang as a whole, that has precedence
 * @param unitName the step that has waited for precedence longest; empty without a unit
 * @param lasting lasting tasks, running or in {@code waiting}
 */
public record TenantDemand(Resources waiting, Resources unit, String unitName, Resources lasting) {
    public static final TenantDemand NONE = new TenantDemand(Resources.NONE, Resources.NONE, "", Resources.NONE);
}
