package io.radishspindle.entry.operator;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metered;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Metrics as text, one {@code name value} per line, and as one JSON object. Durations of timers are in milliseconds.
 * Thread-safe.
 */
public final class MetricsRoutes {
    private static final double NS_PER_MS = 1e6;

    private final MetricRegistry registry;

    public MetricsRoutes(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Adds the routes. */
    public void addRoutes(Router router) {
        router.get("/metrics").handler(this::text);
        router.get("/metrics.json").handler(context -> Answers.json(context, values()));
    }

    private void text(RoutingContext context) {
        String body = values().entrySet().stream()
                .map(entry -> entry.getKey() + " " + entry.getValue() + "\n")
                .collect(Collectors.joining());
        context.response()
                .putHeader("Content-Type", "text/plain; charset=utf-8")
                .end(body);
    }

    private Map<String, Object> values() {
        Map<String, Object> values = new TreeMap<>();
        registry.getMetrics().forEach((name, metric) -> add(values, name, metric));
        return values;
    }

    private static void add(Map<String, Object> values, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            Object value = gauge.getValue();
            values.put(name, value instanceof Number ? value : String.valueOf(value));
        }
        if (metric instanceof Counting counting) {
            values.put(name + ".count", counting.getCount());
        }
        if (metric instanceof Metered metered) {
            values.put(name + ".rate-1m", metered.getOneMinuteRate());
        }
        if (metric instanceof Sampling sampling) {
            double unit = metric instanceof Metered ? NS_PER_MS : 1;
            Snapshot snapshot = sampling.getSnapshot();
            values.put(name + ".p50", snapshot.getMedian() / unit);
            values.put(name + ".p99", snapshot.get99thPercentile() / unit);
            values.put(name + ".max", snapshot.getMax() / unit);
        }
    }
}
