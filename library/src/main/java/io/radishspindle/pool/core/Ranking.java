package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * Orders ready steps for scheduling: by priority; within a priority, steps that can still meet their objective come
 * first, by least slack, then late steps. Jobs that their tenant is not entitled to come behind all others of their
 * priority, and steps of tenants that hold more than their part of a full pool behind those of others. Expired steps
 * come last whatever their priority, since they would only
 * make other steps late. Stateless; thread-safe.
 */
final class Ranking {
    private record Ranked(StepState step, int priority, boolean excess, boolean behind, int lateness, long slackMs) {
        boolean isExpired() {
            return lateness == JobState.EXPIRED;
        }
    }

    private static final Comparator<Ranked> ORDER = Comparator.comparing(Ranked::isExpired)
            .thenComparingInt(Ranked::priority)
            .thenComparing(Ranked::excess)
            .thenComparing(Ranked::behind)
            .thenComparingInt(Ranked::lateness)
            .thenComparingLong(Ranked::slackMs)
            .thenComparing(ranked -> ranked.step().name());

    private Ranking() {}

    /** @param tenantsBehind tenants that hold more than their part of a full pool */
    static List<StepState> rank(Collection<StepState> steps, Set<String> tenantsBehind, long wallMs) {
        List<Ranked> ranked = new ArrayList<>();
        for (StepState step : steps) {
            JobState job = step.job;
            int lateness = step.spec.lasting() ? 0 : job.lateness(step, wallMs);
            step.expired = lateness == JobState.EXPIRED;
            long slackMs = job.slackMs(step, wallMs);
            boolean behind = job.job.tenant() != null && tenantsBehind.contains(job.job.tenant());
            ranked.add(new Ranked(step, job.job.priority(), job.excess, behind, lateness, slackMs));
        }
        ranked.sort(ORDER);
        return ranked.stream().map(Ranked::step).toList();
    }
}
