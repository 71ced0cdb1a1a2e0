package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Orders ready steps for scheduling: by priority; within a priority, steps that can still meet their objective come
 * first, by least slack, then late steps. Expired steps come last whatever their priority, since they would only
 * make other steps late. Stateless; thread-safe.
 */
final class Ranking {
    private record Ranked(StepState step, int priority, int lateness, long slackMs) {
        boolean isExpired() {
            return lateness == JobState.EXPIRED;
        }
    }

    private static final Comparator<Ranked> ORDER = Comparator.comparing(Ranked::isExpired)
            .thenComparingInt(Ranked::priority)
            .thenComparingInt(Ranked::lateness)
            .thenComparingLong(Ranked::slackMs)
            .thenComparing(ranked -> ranked.step().name());

    private Ranking() {}

    static List<StepState> rank(Collection<StepState> steps, long wallMs) {
        List<Ranked> ranked = new ArrayList<>();
        for (StepState step : steps) {
            JobState job = step.job;
            int lateness = step.spec.lasting() ? 0 : job.lateness(step, wallMs);
            step.expired = lateness == JobState.EXPIRED;
            long slackMs = job.slackMs(step, wallMs);
            ranked.add(new Ranked(step, job.job.priority(), lateness, slackMs));
        }
        ranked.sort(ORDER);
        return ranked.stream().map(Ranked::step).toList();
    }
}
