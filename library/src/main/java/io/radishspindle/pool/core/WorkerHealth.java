package io.radishspindle.pool.core;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/**
 * Rates a worker by the ends of its runs: failures suspend it, and single runs probe it afterwards. Belongs to its
 * scheduler; not thread-safe.
 *
 * <p>Invariants: a failure counts while the step doesn't fail on other workers as well, unless the step had failed here
 * and other runs succeeded since; a suspension ends
 * {@link #SUSPENSION_MS} after the last failure that counts; only runs that were started after that failure's run are
 * probes.
 */
final class WorkerHealth {
    /** Time for which a failing worker gets no tasks, in milliseconds. */
    static final long SUSPENSION_MS = 4_000;

    /** Weight of the newest end in the moving averages. */
    private static final double SMOOTHING_WEIGHT = 0.25;
    /** Failure rate above which a worker is suspended; declared failures of tasks stay around 0.1. */
    private static final double FAILURE_LIMIT = 0.45;
    /** Older ends would have a weight below a tenth. */
    private static final int MAX_ENDS = 8;
    /** Slowdown relative to other workers on the same images above which a worker is avoided. */
    private static final double SLOW_LIMIT = 2.2;
    /**
     * Shortest and longest time after which a probe that still runs shows that its worker is sound, in milliseconds.
     */
    private static final long MIN_PROBE_MS = 1_000;

    private static final long MAX_PROBE_MS = 2_500;

    /**
     * An end of a run that was executed or rejected here.
     *
     * @param step null if the worker itself refused the run
     * @param lastedMs milliseconds from the start to the end
     */
    private record End(@Nullable StepState step, boolean failed, long lastedMs) {}

    private final Deque<End> ends = new ArrayDeque<>();
    private double slowness = 1.0;
    private long suspendedUntilMs = Long.MIN_VALUE;
    private boolean probation;
    /** When the latest run was started that has shown the worker to be sound. */
    private long provenStartMs = Long.MIN_VALUE;
    /** When the latest run was started whose failure counts. */
    private long lastFailedStartMs = Long.MIN_VALUE;
    /** The step whose stalled run suspended the worker; null if failures did. */
    private @Nullable StepState stalled;

    /** @param startedAtMs when the start was ordered */
    void onSuccess(double relativeDuration, long startedAtMs) {
        add(new End(null, false, 0));
        slowness += SMOOTHING_WEIGHT * (Math.min(relativeDuration, 2 * SLOW_LIMIT) - slowness);
        onProven(startedAtMs);
    }

    /** A run is sound, as it has succeeded or has lasted for {@link #probeMs}. */
    void onProven(long startedAtMs) {
        provenStartMs = Math.max(provenStartMs, startedAtMs);
        if (startedAtMs > lastFailedStartMs) {
            probation = false;
            stalled = null;
        }
    }

    /** The worker itself has refused a run. */
    void onRefused(long nowMs) {
        lastFailedStartMs = nowMs;
        add(new End(null, true, 0));
    }

    /** Whether the step has failed here before the worker was last shown to be sound, so that it may fail again. */
    boolean outlivedFailureOf(StepState step, String workerId) {
        return step.outcomes.hasFailedBefore(workerId, provenStartMs);
    }

    void onFailure(StepState step, long startedAtMs, long nowMs) {
        lastFailedStartMs = Math.max(lastFailedStartMs, startedAtMs);
        add(new End(step, true, nowMs - startedAtMs));
    }

    private void add(End end) {
        ends.addLast(end);
        if (ends.size() > MAX_ENDS) {
            ends.removeFirst();
        }
    }

    /** Whether the failures that count are too many for a sound worker. */
    boolean isFailing(String workerId, long nowMs) {
        double rate = 0;
        for (End end : ends) {
            if (!end.failed()) {
                rate *= 1 - SMOOTHING_WEIGHT;
            } else if (end.step() == null || !end.step().failsElsewhere(workerId, end.lastedMs(), nowMs)) {
                rate += SMOOTHING_WEIGHT * (1 - rate);
            }
        }
        return rate > FAILURE_LIMIT;
    }

    /** Suspends a worker that fails, refuses or stalls runs; single runs probe it afterwards. */
    void suspend(long nowMs) {
        suspendedUntilMs = nowMs + SUSPENSION_MS;
        probation = true;
    }

    /** Suspends a worker on which a run of the step has stalled. */
    void suspendForStall(StepState step, long startedAtMs, long nowMs) {
        lastFailedStartMs = Math.max(lastFailedStartMs, startedAtMs);
        stalled = step;
        suspend(nowMs);
    }

    /** Ends a suspension whose cause has turned out to lie in the steps; returns whether there was one. */
    boolean reinstate(String workerId, long nowMs) {
        boolean unfounded = stalled == null ? !isFailing(workerId, nowMs) : stalled.failsElsewhere(workerId, 0, nowMs);
        if (!probation || !unfounded) {
            return false;
        }
        suspendedUntilMs = Long.MIN_VALUE;
        probation = false;
        stalled = null;
        return true;
    }

    boolean isSuspended(long nowMs) {
        return nowMs < suspendedUntilMs;
    }

    boolean isOnProbation() {
        return probation;
    }

    /** Milliseconds since probes have been possible; negative while the worker is suspended. */
    long probationMs(long nowMs) {
        return nowMs - suspendedUntilMs;
    }

    /** Whether a run that was started at this time probes the worker. */
    boolean isProbe(long startedAtMs) {
        return probation && startedAtMs >= suspendedUntilMs;
    }

    /** Time after which a run that still runs shows that the worker is sound, in milliseconds. */
    long probeMs() {
        long longestMs =
                ends.stream().filter(End::failed).mapToLong(End::lastedMs).max().orElse(0);
        return Math.min(MAX_PROBE_MS, Math.max(MIN_PROBE_MS, 2 * longestMs));
    }

    boolean isSlow() {
        return slowness > SLOW_LIMIT;
    }

    /** Factor by which runs last longer here than at standard speed; 1 unless the worker is known to be slow. */
    double runTimeFactor() {
        return isSlow() ? slowness : 1;
    }

    double slowness() {
        return slowness;
    }
}
