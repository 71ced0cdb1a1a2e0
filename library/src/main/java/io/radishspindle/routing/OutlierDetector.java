package io.radishspindle.routing;

import java.util.Collection;

/**
 * Ejects executors that fail or are slow; after an ejection they regain their slots one at a time (slow start). Not
 * thread-safe.
 *
 * <p>Invariant: at most half of the executors of a service are ejected at once.
 */
final class OutlierDetector {
    private static final int MAX_CONSECUTIVE_FAILURES = 5;
    private static final double LATENCY_FACTOR = 3;
    private static final int MIN_LATENCY_SAMPLES = 10;
    /** Samples needed to eject an executor again during slow start; fewer, as each costs a caller a slow answer. */
    private static final int MIN_RETURN_SAMPLES = 3;

    private static final int MIN_EXECUTORS_FOR_MEDIAN = 3;
    /** An answer faster than this never ejects its executor, in milliseconds; times of short requests are too noisy. */
    private static final double MIN_SLOW_MS = 20;

    /**
     * Weight of a new sample in the moving average; with a higher one, executors would be ejected by the random
     * variation of run times.
     */
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
     * Handles a successful answer.
     *
     * @param expectedMs average time of the caller's requests; latencies are compared in multiples of it, so that an
     *     executor that happens to run long requests is not taken for a slow one
     */
    void onSuccess(EndpointState executor, double elapsedMs, double expectedMs, long nowMs) {
        executor.consecutiveFailures = 0;
        executor.lastErrorCaller = "";
        executor.latencySamples++;
        double gain = Math.max(GAIN, 1.0 / executor.latencySamples);
        executor.slowness += gain * (elapsedMs / Math.max(1, expectedMs) - executor.slowness);
        if (elapsedMs >= MIN_SLOW_MS && isSlow(executor)) {
            eject(executor, nowMs);
            return;
        }
        if (executor.slowStartSlots != Integer.MAX_VALUE) {
            executor.slowStartSlots++;
            if (executor.slowStartSlots > executor.assignedSlots) {
                executor.slowStartSlots = Integer.MAX_VALUE;
                executor.ejections = 0;
            }
        }
    }

    /** Counts an error answer, but not twice in a row for one caller, whose requests may be at fault. */
    void onErrorAnswer(EndpointState executor, String caller, long nowMs) {
        if (caller.equals(executor.lastErrorCaller)) {
            return;
        }
        executor.lastErrorCaller = caller;
        onFailure(executor, nowMs);
    }

    void onFailure(EndpointState executor, long nowMs) {
        executor.consecutiveFailures++;
        boolean returning = executor.slowStartSlots != Integer.MAX_VALUE;
        if (returning || executor.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            eject(executor, nowMs);
        }
    }

    private boolean isSlow(EndpointState executor) {
        boolean returning = executor.slowStartSlots != Integer.MAX_VALUE;
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
        executor.slowStartSlots = 1;
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
