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
    /** Below this latency an executor is never slow, in milliseconds; hides the noise of very short requests. */
    private static final double MIN_SLOW_MS = 20;

    private static final double GAIN = 0.2;
    private static final long FIRST_EJECTION_MS = 1_000;
    private static final long MAX_EJECTION_MS = 30_000;

    private final Collection<EndpointState> executors;
    private final boolean enabled;
    private long ejections;

    OutlierDetector(Collection<EndpointState> executors, RoutingLimits limits) {
        this.executors = executors;
        enabled = limits.has(Safeguard.OUTLIER_EJECTION);
    }

    /** Ejections since the start. */
    long ejections() {
        return ejections;
    }

    void succeeded(EndpointState executor, double elapsedMs, long nowMs) {
        executor.consecutiveFailures = 0;
        executor.lastErrorCaller = "";
        executor.latencySamples++;
        double gain = Math.max(GAIN, 1.0 / executor.latencySamples);
        executor.latencyMs += gain * (elapsedMs - executor.latencyMs);
        if (isSlow(executor)) {
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
        if (executor.latencySamples < needed || executor.latencyMs < MIN_SLOW_MS) {
            return false;
        }
        double[] latencies = executors.stream()
                .filter(e -> e == executor || e.latencySamples >= MIN_LATENCY_SAMPLES)
                .mapToDouble(e -> e.latencyMs)
                .sorted()
                .toArray();
        return latencies.length >= MIN_EXECUTORS_FOR_MEDIAN
                && executor.latencyMs > LATENCY_FACTOR * latencies[(latencies.length - 1) / 2];
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
        executor.latencyMs = 0;
        ejections++;
    }

    private boolean mayEject(long nowMs) {
        long ejected = executors.stream().filter(e -> e.isEjected(nowMs)).count();
        return (ejected + 1) * 2 <= executors.size();
    }
}
