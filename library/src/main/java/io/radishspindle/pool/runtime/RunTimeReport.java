package io.radishspindle.pool.runtime;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.radishspindle.pool.core.PoolAction;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.tinylog.Logger;

/**
 * Reports how well run times are predicted: log lines for a sample of the ended runs, and a gauge of the error of
 * each queue, the mean absolute logarithm of the ratio to the actual run time. Updated on one event loop; any thread
 * may read the gauges.
 */
final class RunTimeReport {
    private static final String PREFIX = "pool.run-time-error.";

    private final MetricRegistry metrics;
    private final BoundedLog log;
    private final String pool;
    private final Map<String, Double> errors = new ConcurrentHashMap<>();

    RunTimeReport(MetricRegistry metrics, BoundedLog log, String pool) {
        this.metrics = metrics;
        this.log = log;
        this.pool = pool;
    }

    void log(PoolAction.RunTimeObserved observed) {
        if (log.allows("run-time")) {
            Logger.info(
                    "event=run-time step={} image={} queue={} estimate_ms={} predicted_ms={} actual_ms={} source={}"
                            + " confidence={}",
                    observed.kind().step(),
                    observed.kind().image(),
                    observed.kind().queue(),
                    observed.kind().estimateMs(),
                    Math.round(observed.predictedMs()),
                    Math.round(observed.actualMs()),
                    observed.source(),
                    Math.round(100 * observed.confidence()) / 100.0);
        }
    }

    void update(Map<String, Double> errorByQueue) {
        errorByQueue.forEach((queue, error) -> {
            if (errors.put(queue, error) == null) {
                metrics.gauge(name(queue), () -> (Gauge<Double>) () -> errors.getOrDefault(queue, 0.0));
            }
        });
        errors.keySet().stream()
                .filter(queue -> !errorByQueue.containsKey(queue))
                .toList()
                .forEach(this::remove);
    }

    private void remove(String queue) {
        errors.remove(queue);
        metrics.remove(name(queue));
    }

    void close() {
        errors.keySet().forEach(this::remove);
    }

    private String name(String queue) {
        return PREFIX + pool + "." + queue;
    }
}
