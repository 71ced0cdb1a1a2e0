package io.radishspindle.routing;

import java.util.Collection;

/**
 * Ejects executors that fail or are slow, and lets them return one slot at a time. Not thread-safe.
 *
 * <p>Invariant: at most half of the executors of a service are ejected at once.
 */
final class OutlierDetector {
    private static final int MAX_CONSECUTIVE_FAILURES = 5;
    private static final double LATENCY_FACTOR = 3;
    private static final int MIN_LATENCY_SAMPLES = 10;
    /** Samples that condemn an executor that returns from an ejection; each one costs a caller a slow answer. */
    private static final int MIN_RETURN_SAMPLES = 3;

    private static final int MIN_EXECUTORS_FOR_MEDIAN = 3;
    /** An answer faster than this never ejects its executor, in milliseconds; hides the noise of short requests. */
    private static final double MIN_SLOW_MS = 20;

    /** Weight of a new sample; run times vary so much that a higher weight would eject executors by chance. */
    private static final double GAIN = 0.1;

    private static final long FIRST_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;

    private final Collection<EndpointState> executors;
    private final boolean enabled;
    private final RoutingStats stats;

    OutlierDetector(Collection<EndpointState> executors, RoutingOptions options, RoutingStats stats) {
        this.executors = executors;
        this.stats = stats;
        enabled = options.has(Safeguard.OUTLIER_EJECTION);
    }

    /**
     * Takes a good answer.
     *
     * @param expectedMs usual time of the caller's requests; latencies are compared in multiples of it, so that an
     *     executor that happens to run long requests is not taken for a slow one
     */
    void succeeded(EndpointState executor, double elapsedMs, double expectedMs, long nowMs) {
        executor.consecutiveFailures = 0;
        executor.lastErrorCaller = "";
        executor.latencySamples++;
        double gain = Math.max(GAIN, 1.0 / executor.latencySamples);
        executor.slowness += gain * (elapsedMs / Math.max(1, expectedMs) - executor.slowness);
        if (elapsedMs >= MIN_SLOW_MS && isSlow(executor)) {
            eject(executor, nowMs);
            return;
        }
        if (executor.rampSlots != Integer.MAX_VALUE) {
            executor.rampSlots++;
            if (executor.rampSlots > executor.assignedSlots) {
                executor.rampSlots = Integer.MAX_VALUE;
                executor.ejections = 0;
            }
        }
    }

    /** Counts an error answer, but not twice in a row for one caller, whose requests may be at fault. */
    void answeredWithError(EndpointState executor, String caller, long nowMs) {
        if (caller.equals(executor.lastErrorCaller)) {
            return;
        }
        executor.lastErrorCaller = caller;
        failed(executor, nowMs);
    }

    void failed(EndpointState executor, long nowMs) {
        executor.consecutiveFailures++;
        boolean returning = executor.rampSlots != Integer.MAX_VALUE;
        if (returning || executor.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            eject(executor, nowMs);
        }
    }

    private boolean isSlow(EndpointState executor) {
        boolean returning = executor.rampSlots != Integer.MAX_VALUE;
        int needed = returning ? MIN_RETURN_SAMPLES : MIN_LATENCY_SAMPLES;
        if (executor.latencySamples < needed) {
            return false;
        }
        double[] others = executors.stream()
                .filter(e -> e == executor || e.latencySamples >= MIN_LATENCY_SAMPLES)
                .mapToDouble(e -> e.slowness)
                .sorted()
                .toArray();
        return others.length >= MIN_EXECUTORS_FOR_MEDIAN
                && executor.slowness > LATENCY_FACTOR * others[(others.length - 1) / 2];
    }

    private void eject(EndpointState executor, long nowMs) {
        if (!enabled || executor.isEjected(nowMs) || !mayEject(nowMs)) {
            return;
        }
        long ejectedMs = Math.min(MAX_EJECTION_MS, FIRST_EJECTION_MS << Math.min(executor.ejections, 5));
        executor.ejections++;
        executor.ejectedUntilMs = nowMs + ejectedMs;
        executor.rampSlots = 1;
        executor.consecutiveFailures = 0;
        executor.latencySamples = 0;
        executor.slowness = 0;
        stats.ejections.increment();
    }

    private boolean mayEject(long nowMs) {
        long ejected = executors.stream().filter(e -> e.isEjected(nowMs)).count();
        return (ejected + 1) * 2 <= executors.size();
    }
}
