package io.radishspindle.routing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Average slot time of the requests of a service and of each caller, as moving averages. Not thread-safe.
 */
final class CallerCosts {
    /** Weight of a new sample in the moving averages. */
    private static final double GAIN = 0.1;
    /** Assumed slot time of a service that has answered nothing yet, in milliseconds. */
    private static final double INITIAL_MS = 20;
    /** Bounds the memory that an unbounded number of caller names could take. */
    private static final int MAX_CALLERS = 10_000;

    private final Cache<String, Double> byCaller = Caffeine.newBuilder()
            .maximumSize(MAX_CALLERS)
            .executor(Runnable::run)
            .build();
    private double meanMs = INITIAL_MS;
    private long samples;

    void record(String caller, double elapsedMs) {
        double sample = Math.max(0.1, elapsedMs);
        samples++;
        // The first samples weigh more, so that the assumed initial value soon loses its effect.
        double gain = Math.max(GAIN, 1.0 / samples);
        meanMs += gain * (sample - meanMs);
        Double old = byCaller.getIfPresent(caller);
        byCaller.put(caller, old == null ? sample : old + GAIN * (sample - old));
    }

    double meanMs() {
        return meanMs;
    }

    /** Average slot time of a caller's request as a multiple of the service's; 1 for an unknown caller. */
    double relativeCost(String caller) {
        Double own = byCaller.getIfPresent(caller);
        return own == null ? 1 : own / meanMs;
    }

    /** Average slot time of a caller's request, in milliseconds. */
    double expectedMs(String caller) {
        return relativeCost(caller) * meanMs;
    }
}
