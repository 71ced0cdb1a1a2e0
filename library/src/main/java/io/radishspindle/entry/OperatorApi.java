package io.radishspindle.entry;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.config.ConfigService;
import io.radishspindle.entry.operator.AuditRoutes;
import io.radishspindle.entry.operator.ConfigRoutes;
import io.radishspindle.entry.operator.FleetRoutes;
import io.radishspindle.entry.operator.MetricsRoutes;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.platform.Clock;
import io.vertx.ext.web.Router;
import java.util.function.Supplier;

/**
 * HTTP interface for operators and auditors: configuration, audit entries, VMs, workers, groups, endpoints and
 * metrics. Belongs to one event loop. Jobs have their own interface.
 */
public final class OperatorApi {
    private final ConfigRoutes config;
    private final AuditRoutes audit;
    private final FleetRoutes fleet;
    private final MetricsRoutes metrics;

    public OperatorApi(
            Clock clock, ConfigService configService, Supplier<MembershipView> view, MetricRegistry registry) {
        config = new ConfigRoutes(clock, configService, view);
        audit = new AuditRoutes(configService);
        fleet = new FleetRoutes(view);
        metrics = new MetricsRoutes(registry);
    }

    /** Adds the routes to the operators' listener. */
    public void addRoutes(Router router) {
        config.addRoutes(router);
        audit.addRoutes(router);
        fleet.addRoutes(router);
        metrics.addRoutes(router);
    }
}
