package io.radishspindle.bench.routing;

import io.radishspindle.routing.RequestClass;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.HdrHistogram.Histogram;

/** Waiting times by class, from the arrival to the start of the run, and counts. Not thread-safe. */
final class ReplayFigures {
    private static final long MAX_WAIT_MS = 60_000;

    private final Map<RequestClass, Histogram> waits = new EnumMap<>(RequestClass.class);
    private final Map<RequestClass, Integer> refused = new EnumMap<>(RequestClass.class);
    private final Histogram burstWaits = new Histogram(MAX_WAIT_MS, 3);
    private int burstRefused;
    private int busy;

    ReplayFigures() {
        for (RequestClass requestClass : RequestClass.values()) {
            waits.put(requestClass, new Histogram(MAX_WAIT_MS, 3));
            refused.put(requestClass, 0);
        }
    }

    void started(Arrival arrival, long waitMs) {
        Histogram histogram = arrival.burst() ? burstWaits : waitsOf(arrival.requestClass());
        histogram.recordValue(Math.min(MAX_WAIT_MS, waitMs));
    }

    void refused(Arrival arrival) {
        if (arrival.burst()) {
            burstRefused++;
        } else {
            refused.merge(arrival.requestClass(), 1, Integer::sum);
        }
    }

    void busy() {
        busy++;
    }

    /** One line per class, and one for the burst. */
    String table(String name) {
        StringBuilder table = new StringBuilder();
        for (RequestClass requestClass : RequestClass.values()) {
            int count = Objects.requireNonNull(refused.get(requestClass));
            table.append(line(name, requestClass.wireName(), waitsOf(requestClass), count));
        }
        table.append(line(name, "burst", burstWaits, burstRefused));
        return table.append(String.format(Locale.ROOT, "%-22s busy answers %d%n", name, busy))
                .toString();
    }

    private Histogram waitsOf(RequestClass requestClass) {
        return Objects.requireNonNull(waits.get(requestClass));
    }

    private static String line(String name, String label, Histogram waits, int refused) {
        return String.format(
                Locale.ROOT,
                "%-22s %-12s %8d %6d %6d %6d %7d %7d %8d%n",
                name,
                label,
                waits.getTotalCount(),
                waits.getValueAtPercentile(50),
                waits.getValueAtPercentile(95),
                waits.getValueAtPercentile(99),
                waits.getValueAtPercentile(99.9),
                waits.getMaxValue(),
                refused);
    }
}
