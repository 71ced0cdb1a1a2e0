package io.radishspindle.pool.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The longest chains of work in a job, of each occurrence. Belongs to its job; not thread-safe.
 *
 * <p>Invariant: without learned run times the chains never change. With them, they are computed anew when a run of the
 * job has started or ended, or after a short time, as a pass asks for them very often.
 */
final class JobChains {
    /** Workers in the advice call that the objective of a job allows for. */
    private static final int ASSUMED_ADVICE_WORKERS = 30;
    /** Time for which chains may ignore new evidence from other jobs, in milliseconds. */
    private static final long MAX_AGE_MS = 100;
    /** Occurrences whose chains are kept; a job seldom has more under way. */
    private static final int MAX_OCCURRENCES = 8;

    /**
     * Chains of one occurrence.
     *
     * @param remainingMs longest chain from each step to the end
     * @param leastRemainingMs the same with all work as short as it may well be
     * @param longestMs longest chain of all work, done or not
     * @param state state of the job for which they hold
     */
    private record Chains(
            List<Long> remainingMs, List<Long> leastRemainingMs, long longestMs, long state, long computedAtMs) {}

    private final JobState job;
    private final DurationStats durations;
    private final Map<Integer, Chains> byOccurrence = new HashMap<>();

    JobChains(JobState job, DurationStats durations) {
        this.job = job;
        this.durations = durations;
    }

    /** Expected length of the longest chain that starts with the step. */
    long remainingMs(StepState step) {
        return chains(step.occurrence).remainingMs().get(step.index);
    }

    /** Length of that chain that is exceeded with high probability. */
    long leastRemainingMs(StepState step) {
        return chains(step.occurrence).leastRemainingMs().get(step.index);
    }

    /** Expected length of the longest chain of all work of an occurrence. */
    long longestMs(int occurrence) {
        return chains(occurrence).longestMs();
    }

    private Chains chains(int occurrence) {
        if (!durations.isLearning()) {
            // Estimates are the same for all occurrences.
            return byOccurrence.computeIfAbsent(0, first -> compute(first, 0));
        }
        Chains known = byOccurrence.get(occurrence);
        long state = state(occurrence);
        if (known != null && known.state() == state && durations.passMs() - known.computedAtMs() < MAX_AGE_MS) {
            return known;
        }
        if (byOccurrence.size() >= MAX_OCCURRENCES) {
            byOccurrence.clear();
        }
        Chains chains = compute(occurrence, state);
        byOccurrence.put(occurrence, chains);
        return chains;
    }

    /** A number that rises with each start and success in the occurrence. */
    private long state(int occurrence) {
        long sum = 0;
        for (int i = 0; i < job.job.steps().size(); i++) {
            StepState step = job.step(occurrence, i);
            sum += step.doneTasks + step.highestAttempt;
        }
        return sum;
    }

    private Chains compute(int occurrence, long state) {
        int count = job.job.steps().size();
        Long[] remaining = new Long[count];
        Long[] least = new Long[count];
        for (int i = count - 1; i >= 0; i--) {
            StepState step = job.step(occurrence, i);
            remaining[i] = longestAfter(i, remaining) + adviceMs() + restMs(step);
            least[i] = longestAfter(i, least) + adviceMs() + leastRestMs(step);
        }
        return new Chains(List.of(remaining), List.of(least), longest(occurrence), state, durations.passMs());
    }

    /** Longest of the chains that follow a step; steps only follow earlier ones. */
    private long longestAfter(int index, Long[] chains) {
        long longest = 0;
        for (int i = index + 1; i < chains.length; i++) {
            if (job.job.steps().get(i).after().contains(index)) {
                longest = Math.max(longest, chains[i]);
            }
        }
        return longest;
    }

    private long longest(int occurrence) {
        long[] ends = new long[job.job.steps().size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int earlier : job.job.steps().get(i).after()) {
                start = Math.max(start, ends[earlier]);
            }
            ends[i] = start + adviceMs() + workMs(job.step(occurrence, i));
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    private long adviceMs() {
        return job.job.advice() == null ? 0 : job.job.advice().callMs(ASSUMED_ADVICE_WORKERS);
    }

    /** Work of a task of the step; a run that lasts longer than expected shows that the step has more work. */
    private long workMs(StepState step) {
        long workMs = durations.workMs(step);
        if (durations.isLearning() && !step.spec.lasting()) {
            for (TaskState task : step.tasks) {
                RunState run = task.run;
                if (run != null && !run.partial) {
                    long elapsedMs = durations.passMs() - run.sentAtMs;
                    workMs = Math.max(workMs, elapsedMs + durations.expectedRestMs(run, durations.passMs()));
                }
            }
        }
        return workMs;
    }

    private long restMs(StepState step) {
        if (!isUnderWay(step)) {
            return durations.workMs(step);
        }
        long restMs = step.waitingTasks() > 0 ? durations.workMs(step) : 0;
        for (TaskState task : step.tasks) {
            if (task.run != null) {
                restMs = Math.max(restMs, durations.expectedRestMs(task.run, durations.passMs()));
            }
        }
        return restMs;
    }

    private long leastRestMs(StepState step) {
        long workMs = durations.leastWorkMs(step);
        if (!isUnderWay(step) || step.waitingTasks() > 0) {
            return workMs;
        }
        long restMs = 0;
        for (TaskState task : step.tasks) {
            if (task.run != null) {
                restMs = Math.max(restMs, workMs - (durations.passMs() - task.run.sentAtMs));
            }
        }
        return restMs;
    }

    /** Whether the rest of the step is known better than by the work of a whole task. */
    private boolean isUnderWay(StepState step) {
        return durations.isLearning() && !step.spec.lasting() && (step.doneTasks > 0 || step.hasRuns());
    }
}
