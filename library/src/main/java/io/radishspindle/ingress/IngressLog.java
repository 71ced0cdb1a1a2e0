package io.radishspindle.ingress;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.runtime.BoundedLog;
import java.util.Locale;
import org.tinylog.Logger;

/** Reports each limit that a caller met, as a bounded log line and a counter. Confined to one event loop. */
final class IngressLog {
    /** What was done to the caller. */
    enum Action {
        /** Its connection was closed without a response. */
        CLOSED,
        /** Its request was refused with a response. */
        REFUSED
    }

    private static final String EVENT = "caller-limit";

    private final MetricRegistry metrics;
    private final BoundedLog lines;

    IngressLog(Clock clock, MetricRegistry metrics) {
        this.metrics = metrics;
        lines = new BoundedLog(clock);
    }

    void reached(IngressLimit limit, Action action, GuardedConnection connection, MemoryBudget budget, long nowMs) {
        metrics.counter("callers.limited." + limit.label()).inc();
        // Callers leave connections idle in the ordinary course of things.
        if (limit != IngressLimit.IDLE_TIME && lines.allows(EVENT)) {
            Logger.warn(
                    "event={} limit={} action={} port={} address={} stalled_ms={} occupied={} sum={} max={}",
                    EVENT,
                    limit.label(),
                    action.name().toLowerCase(Locale.ROOT),
                    connection.address().port(),
                    connection.address().remote(),
                    nowMs - connection.progressAtMs(),
                    connection.occupiedBytes(),
                    budget.occupiedBytes(),
                    budget.maxBytes());
        }
    }

    <T> void gauge(String name, Gauge<T> gauge) {
        metrics.gauge(name, () -> gauge);
    }
}
