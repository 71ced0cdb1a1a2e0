package io.radishspindle.routing;

import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * State of a request within the core. Belongs to one {@link RoutingCore}; not thread-safe.
 *
 * <p>Invariant: {@code mayHaveRun} never goes back to false.
 */
final class Request {
    /** Where the request is. */
    enum Phase {
        QUEUED,
        RUNNING,
        /** Answered while its last attempt still holds a slot. */
        ANSWERED
    }

    final RoutingEvent.RequestArrived arrival;
    final Set<String> triedEndpoints = new HashSet<>();
    Phase phase = Phase.QUEUED;
    int attempt;
    int sends;
    int forwards;
    boolean mayHaveRun;
    boolean callerGone;
    long sentAtMs;

    @Nullable
    EndpointState executor;

    @Nullable
    String peer;

    Request(RoutingEvent.RequestArrived arrival) {
        this.arrival = arrival;
    }

    long id() {
        return arrival.requestId();
    }

    String caller() {
        return arrival.caller();
    }

    RequestClass requestClass() {
        return arrival.requestClass();
    }

    long deadlineAtMs() {
        return arrival.deadlineAtMs();
    }
}
