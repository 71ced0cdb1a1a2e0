package io.radishspindle.placement.internal;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;

/** Observations about a family of jobs: usage, run times, failures. Not thread-safe. */
final class Family {
    /** Samples kept of usage and of run times; enough to include a peak, few enough to follow a change. */
    private static final int SAMPLES = 16;

    private static final int MIN_RUN_SAMPLES = 3;
    /**
     * A family is failing consistently if this many attempts in a row failed, in several jobs and on several workers.
     */
    static final int SET_ASIDE_ATTEMPTS = 8;

    private static final int SET_ASIDE_JOBS = 2;
    private static final int SET_ASIDE_WORKERS = 2;

    final String name;
    /** Unfinished jobs of the family. */
    final Set<JobState> jobs = new LinkedHashSet<>();

    private final Deque<Resources> peaks = new ArrayDeque<>();
    private final Deque<Long> runTimes = new ArrayDeque<>();
    private final Set<String> failedJobs = new LinkedHashSet<>();
    private final Set<String> failedWorkers = new LinkedHashSet<>();
    private Resources observedPeak = Resources.NONE;
    private long estimatedRunMs = -1;
    private int consecutiveFailures;

    Family(String name) {
        this.name = name;
    }

    void notePeak(Resources used) {
        peaks.addLast(used);
        if (peaks.size() > SAMPLES) {
            peaks.removeFirst();
        }
        observedPeak = peaks.stream().reduce(Resources.NONE, Family::max);
    }

    static Resources max(Resources a, Resources b) {
        return new Resources(
                Math.max(a.milliCores(), b.milliCores()),
                Math.max(a.memoryMib(), b.memoryMib()),
                Math.max(a.accelerators(), b.accelerators()));
    }

    /** The declared size, raised to the highest usage among the last samples. Never less than declared. */
    Resources demandFor(Resources declared) {
        return max(declared, new Resources(observedPeak.milliCores(), observedPeak.memoryMib(), 0));
    }

    void noteSuccess(long ranMs) {
        runTimes.addLast(ranMs);
        if (runTimes.size() > SAMPLES) {
            runTimes.removeFirst();
        }
        long[] sorted = runTimes.stream().mapToLong(Long::longValue).sorted().toArray();
        estimatedRunMs = sorted.length < MIN_RUN_SAMPLES ? -1 : sorted[sorted.length * 3 / 4];
        consecutiveFailures = 0;
        failedJobs.clear();
        failedWorkers.clear();
    }

    /** Expected run time: the upper quartile of the last samples, or the declared run time while there are too few. */
    long expectedRunMs(JobSpec spec) {
        return estimatedRunMs >= 0 ? estimatedRunMs : Math.max(1, spec.expectedRunMs());
    }

    void noteFailure(String jobId, String workerId) {
        consecutiveFailures++;
        if (failedJobs.size() < SAMPLES) {
            failedJobs.add(jobId);
        }
        if (failedWorkers.size() < SAMPLES) {
            failedWorkers.add(workerId);
        }
    }

    /** Discounts failures that a worker caused. */
    void discountFailures(int count, String workerId) {
        consecutiveFailures = Math.max(0, consecutiveFailures - count);
        failedWorkers.remove(workerId);
    }

    /** Whether the family has failed on another worker since its last success. */
    boolean hasFailedElsewhere(String workerId) {
        return failedWorkers.size() > (failedWorkers.contains(workerId) ? 1 : 0);
    }

    boolean isFailingConsistently() {
        return consecutiveFailures >= SET_ASIDE_ATTEMPTS
                && failedJobs.size() >= SET_ASIDE_JOBS
                && failedWorkers.size() >= SET_ASIDE_WORKERS;
    }

    String failureSummary() {
        return "the last " + consecutiveFailures + " attempts of family " + name + " failed, in " + failedJobs.size()
                + " jobs on " + failedWorkers.size() + " workers " + Arrays.toString(failedWorkers.toArray());
    }
}
