package io.radishspindle.bench.routing;

import io.radishspindle.routing.RequestClass;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates requests of many callers and a burst of one. The same seed gives the same requests. Not thread-safe.
 *
 * <p>Without the burst the requests take about half of the slots; with it they need more than all of them.
 */
final class ArrivalGenerator {
    private static final long DEADLINE_MS = 10_000;
    private static final double BURST_START = 0.3;
    private static final double BURST_END = 0.6;

    private final UniformRandomProvider random;
    private final int vms;
    private final long durationMs;
    private final List<Arrival> arrivals = new ArrayList<>();

    private ArrivalGenerator(long seed, int vms, long durationMs) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
        this.vms = vms;
        this.durationMs = durationMs;
    }

    /** Requests in the order of their arrival. */
    static List<Arrival> generate(long seed, int vms, long durationMs, RequestClass burstClass) {
        ArrivalGenerator generator = new ArrivalGenerator(seed, vms, durationMs);
        generator.stream(RequestClass.INTERACTIVE, 1_500, 30, 50, 0, 1, false);
        generator.stream(RequestClass.NORMAL, 600, 60, 20, 0, 1, false);
        generator.stream(RequestClass.BULK, 50, 200, 5, 0, 1, false);
        generator.stream(burstClass, 800, 200, 1, BURST_START, BURST_END, true);
        generator.arrivals.sort(Comparator.comparingLong(Arrival::atMs).thenComparingLong(Arrival::id));
        return generator.arrivals;
    }

    private void stream(
            RequestClass requestClass,
            double perSecond,
            double meanRunMs,
            int callers,
            double start,
            double end,
            boolean burst) {
        double atMs = start * durationMs;
        while (true) {
            atMs += exponential(1_000 / perSecond);
            if (atMs >= end * durationMs) {
                return;
            }
            String caller = burst ? "burst" : requestClass.wireName() + random.nextInt(callers);
            long runMs = Math.max(1, Math.round(exponential(meanRunMs)));
            arrivals.add(new Arrival(
                    arrivals.size() + 1L,
                    (long) atMs,
                    random.nextInt(vms),
                    caller,
                    requestClass,
                    runMs,
                    (long) atMs + DEADLINE_MS,
                    burst));
        }
    }

    private double exponential(double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
