package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.Map;

/**
 * Room that will be kept for a waiting job on some workers from {@code shadowAtMs}. Not thread-safe.
 *
 * <p>{@code slack} is what is left on each of these workers at that time beside the job; tasks that run longer may
 * use it.
 */
final class Reservation {
    final JobState job;
    final long shadowAtMs;
    /** The first time that was computed for the job; after it nothing is backfilled that would run on. */
    final long firstShadowAtMs;

    final long plannedAtMs;
    final Map<WorkerState, Resources> slack;

    Reservation(
            JobState job, long shadowAtMs, long firstShadowAtMs, long plannedAtMs, Map<WorkerState, Resources> slack) {
        this.job = job;
        this.shadowAtMs = shadowAtMs;
        this.firstShadowAtMs = firstShadowAtMs;
        this.plannedAtMs = plannedAtMs;
        this.slack = slack;
    }

    boolean allows(WorkerState worker, Resources demand, long expectedEndAtMs, long nowMs) {
        Resources left = slack.get(worker);
        if (left == null || demand.fitsIn(left)) {
            return true;
        }
        return expectedEndAtMs <= shadowAtMs && nowMs <= firstShadowAtMs;
    }

    void noteStart(WorkerState worker, Resources demand, long expectedEndAtMs) {
        Resources left = slack.get(worker);
        if (left != null && expectedEndAtMs > shadowAtMs) {
            slack.put(worker, left.minus(demand));
        }
    }
}
