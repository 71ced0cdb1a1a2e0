package io.radishspindle.routing;

import java.util.Map;

/**
 * Limits of all services. Immutable and thread-safe.
 *
 * @param defaults limits of services without limits of their own
 * @param exceptions limits by name of service
 */
public record ServiceLimitsTable(ServiceLimits defaults, Map<String, ServiceLimits> exceptions) {
    public ServiceLimitsTable {
        exceptions = Map.copyOf(exceptions);
    }

    /** Limits of a service. */
    public ServiceLimits of(String service) {
        return exceptions.getOrDefault(service, defaults);
    }
}
