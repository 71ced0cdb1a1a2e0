package io.radishspindle.bench.routing;

import io.radishspindle.routing.RequestClass;

/**
 * A generated request. Immutable.
 *
 * @param vm index of the entry VM that the load balancer chose
 * @param runMs slot time that the request takes
 * @param burst it belongs to the burst of one caller
 */
record Arrival(
        long id,
        long atMs,
        int vm,
        String caller,
        RequestClass requestClass,
        long runMs,
        long deadlineAtMs,
        boolean burst) {}
