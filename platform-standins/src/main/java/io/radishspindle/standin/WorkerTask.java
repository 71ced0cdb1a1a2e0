package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.platform.WorkerClient.Running;
import io.radishspindle.platform.WorkerClient.Start;
import java.util.Map;
import java.util.Optional;

/**
 * A running attempt: a timer. Not thread-safe.
 *
 * <p>Parameters: {@code runMs} is its length in milliseconds or {@code forever}, by default the expected run time,
 * and an expected run time of 0 means until stopped; {@code fail} = {@code true} lets it fail at its end; {@code
 * usedFraction} is the share of its resources that it uses.
 */
final class WorkerTask {
    static final long FOREVER = Long.MAX_VALUE;
    private static final double DEFAULT_USED_FRACTION = 0.6;
    private static final double THROTTLED_SPEED = 0.5;

    private final Start start;
    private final long runMs;
    private final double usedFraction;
    private double doneMs;
    private boolean throttled;
    private long stopAfterMs = FOREVER;
    private double nextSampleAtMs;
    private Resources used = Resources.NONE;
    private boolean usageChanged;

    /** Fails with {@link IllegalArgumentException} if a parameter is invalid. */
    WorkerTask(Start start, long usageLagMs) {
        this.start = start;
        this.runMs = parseRunMs(start);
        this.usedFraction = Double.parseDouble(
                start.parameters().getOrDefault("usedFraction", Double.toString(DEFAULT_USED_FRACTION)));
        this.nextSampleAtMs = usageLagMs;
    }

    TaskAttempt attempt() {
        return start.attempt();
    }

    Resources reserved() {
        return start.resources();
    }

    void throttle(boolean on) {
        throttled = on;
    }

    /** Lets the attempt end as stopped after a checkpoint that takes {@code checkpointMs}. */
    void stopAfterCheckpoint(long checkpointMs) {
        stopAfterMs = Math.min(stopAfterMs, (long) doneMs + checkpointMs);
    }

    /** Runs for some time; yields the outcome if the attempt ended. */
    Optional<TaskOutcome> advance(long elapsedMs, long usageLagMs, boolean failAll) {
        doneMs += elapsedMs * (throttled ? THROTTLED_SPEED : 1);
        sampleUsage(usageLagMs);
        if (failAll) {
            return Optional.of(TaskOutcome.FAILED);
        }
        if (doneMs >= stopAfterMs) {
            return Optional.of(TaskOutcome.STOPPED);
        }
        if (runMs == FOREVER || doneMs < runMs) {
            return Optional.empty();
        }
        boolean fails = Boolean.parseBoolean(start.parameters().getOrDefault("fail", "false"));
        return Optional.of(fails ? TaskOutcome.FAILED : TaskOutcome.SUCCEEDED);
    }

    Running report() {
        return new Running(attempt(), reserved(), used, (long) doneMs);
    }

    /** Whether usage was sampled since the last call. */
    boolean takeUsageChanged() {
        boolean changed = usageChanged;
        usageChanged = false;
        return changed;
    }

    private void sampleUsage(long usageLagMs) {
        if (doneMs < nextSampleAtMs) {
            return;
        }
        nextSampleAtMs = doneMs + Math.max(1, usageLagMs);
        Resources sample = new Resources(
                Math.round(reserved().milliCores() * usedFraction * (throttled ? THROTTLED_SPEED : 1)),
                Math.round(reserved().memoryMib() * usedFraction),
                reserved().accelerators());
        usageChanged |= !sample.equals(used);
        used = sample;
    }

    private static long parseRunMs(Start start) {
        Map<String, String> parameters = start.parameters();
        String text = parameters.getOrDefault("runMs", Long.toString(start.expectedRunMs()));
        if (text.equals("forever")) {
            return FOREVER;
        }
        long parsed = Long.parseLong(text);
        return parsed <= 0 ? FOREVER : parsed;
    }
}
