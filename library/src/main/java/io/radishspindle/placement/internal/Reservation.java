package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.Map;

/**
 * Capacity of some workers that is reserved for a waiting job from {@code shadowAtMs}, the time at which the job is
 * expected to fit (its shadow time). Not thread-safe.
 *
 * <p>{@code slack} is what the job leaves free on each of these workers at that time; tasks that run past the shadow
 * time may use it.
 */
final class Reservation {
    final JobState job;
    final long shadowAtMs;
    /** The first shadow time computed for the job; after it, only tasks that fit into the slack are backfilled. */
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
