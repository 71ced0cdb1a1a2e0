package io.radishspindle.pool.tenant;

import io.radishspindle.model.Resources;

/**
 * Use and demand of one tenant in one slice. Immutable and thread-safe.
 *
 * @param running what runs or may run
 * @param need what runs for certain, and the waiting tasks
 * @param recentNeed highest {@code need} of the last seconds
 * @param unit largest waiting task, or gang as a whole, that has precedence
 * @param sameUnit {@code unit} includes the step that it included at the last plan
 * @param lasting the part of {@code need} for lasting tasks
 */
record SliceUse(
        Resources running, Resources need, Resources recentNeed, Resources unit, boolean sameUnit, Resources lasting) {
    static final SliceUse NONE =
            new SliceUse(Resources.NONE, Resources.NONE, Resources.NONE, Resources.NONE, false, Resources.NONE);
}
