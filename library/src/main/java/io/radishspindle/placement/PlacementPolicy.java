package io.radishspindle.placement;

import io.radishspindle.model.Resources;
import java.util.Map;

/**
 * Settings of the placement policy, taken from the fleet configuration. Immutable and thread-safe.
 *
 * @param defaultQuota resources that a team may hold before it counts as borrowing
 * @param teamQuotas quotas of teams that have an exception
 * @param maxQueuedTasks capacity of the queue; jobs that would exceed it are rejected at submission
 * @param preemptForUrgent whether batch tasks are preempted to free capacity for urgent ones
 */
public record PlacementPolicy(
        Resources defaultQuota, Map<String, Resources> teamQuotas, int maxQueuedTasks, boolean preemptForUrgent) {
    public static final PlacementPolicy DEFAULT =
            new PlacementPolicy(new Resources(256_000, 1_048_576, 64), Map.of(), 20_000, true);

    public PlacementPolicy {
        teamQuotas = Map.copyOf(teamQuotas);
    }

    public Resources quotaOf(String team) {
        return teamQuotas.getOrDefault(team, defaultQuota);
    }
}
