package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.ServiceLoad;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** All services, in the order of their names. Belongs to one {@link RoutingCore}; not thread-safe. */
final class ServiceTable {
    private final RoutingOptions options;
    private final UniformRandomProvider random;
    private final RoutingStats stats;
    private final Map<String, ServiceState> services = new TreeMap<>();
    private final SlotTable slots = new SlotTable();

    ServiceTable(RoutingOptions options, UniformRandomProvider random, RoutingStats stats) {
        this.stats = stats;
        this.options = options;
        this.random = random;
    }

    Collection<ServiceState> all() {
        return services.values();
    }

    @Nullable
    ServiceState find(String name) {
        return services.get(name);
    }

    /** The service of this name, which a view must have listed before. */
    ServiceState get(String name) {
        ServiceState service = services.get(name);
        if (service == null) {
            throw new IllegalStateException("service " + name + " was never listed");
        }
        return service;
    }

    void update(MembershipView view) {
        slots.update(view);
        Map<String, List<Endpoint>> byService = new HashMap<>();
        for (Endpoint endpoint : view.endpoints()) {
            byService
                    .computeIfAbsent(endpoint.service(), name -> new ArrayList<>())
                    .add(endpoint);
            services.computeIfAbsent(endpoint.service(), name -> new ServiceState(name, options, random, stats));
        }
        for (ServiceState service : services.values()) {
            service.update(view, byService.getOrDefault(service.name, List.of()), slots);
        }
    }

    List<ServiceLoad> loads(long nowMs) {
        return services.values().stream().map(s -> s.load(nowMs)).toList();
    }

    List<String> leavingEndpoints() {
        List<String> leaving = new ArrayList<>();
        for (ServiceState service : services.values()) {
            for (EndpointState executor : service.executors()) {
                if (executor.isLeaving()) {
                    leaving.add(executor.id());
                }
            }
        }
        return leaving;
    }
}
