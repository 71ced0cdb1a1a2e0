package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which ready steps are served: by priority; within it, work that can still meet its objective goes first,
 * the least slack first, then late work. Work that has lost its value goes last, whatever its priority, since it would
 * only make other work late. Stateless; thread-safe.
 */
final class Ranking {
    private record Ranked(StepState step, int priority, int lateness, long slackMs) {
        boolean isWorthless() {
            return lateness == JobState.WORTHLESS;
        }
    }

    private static final Comparator<Ranked> ORDER = Comparator.comparing(Ranked::isWorthless)
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
            step.worthless = lateness == JobState.WORTHLESS;
            long slackMs = job.slackMs(step, wallMs);
            ranked.add(new Ranked(step, job.job.priority(), lateness, slackMs));
        }
        ranked.sort(ORDER);
        return ranked.stream().map(Ranked::step).toList();
    }
}
