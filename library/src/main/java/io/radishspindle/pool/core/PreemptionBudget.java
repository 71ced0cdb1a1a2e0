package io.radishspindle.pool.core;

/**
 * Bounds the work of a pool that preemption throws away, as a token bucket. One preemption may take the bucket below
 * zero, since a step that needs a large part of a small pool would never start otherwise; the next one waits until
 * the debt is paid. Belongs to its scheduler; not thread-safe.
 */
final class PreemptionBudget {
    /** Share of the pool's capacity whose work may be thrown away in the long run. */
    private static final double MAX_LOSS_SHARE = 0.02;

    /** Time in which an empty bucket fills, in milliseconds: a burst of urgent jobs is served at once. */
    private static final long FILL_MS = 10_000;

    private double level = Double.MAX_VALUE;
    private long refilledAtMs = Long.MIN_VALUE;

    /** @param poolCores capacity of the pool, as the number of cores that do as much work */
    void refill(double poolCores, long nowMs) {
        double limit = MAX_LOSS_SHARE * poolCores * FILL_MS;
        if (refilledAtMs != Long.MIN_VALUE) {
            level += MAX_LOSS_SHARE * poolCores * (nowMs - refilledAtMs);
        }
        level = Math.min(level, limit);
        refilledAtMs = nowMs;
    }

    /** Returns whether more may be lost after {@code plannedCoreMs}, which are not spent yet. */
    boolean allowsBeyond(double plannedCoreMs) {
        return level > plannedCoreMs;
    }

    void spend(double coreMs) {
        level -= coreMs;
    }
}
