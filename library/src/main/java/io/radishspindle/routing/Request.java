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
    /** State of a request. */
    enum Phase {
        QUEUED,
        RUNNING,
        /** The caller has its final answer, but the last attempt is in flight and still holds a slot. */
        ANSWERED
    }

    final RoutingEvent.RequestArrived arrival;
    final Set<String> triedEndpoints = new HashSet<>();
    Phase phase = Phase.QUEUED;
    int attempt;
    /** Attempts that were sent to executors, and forwards that may have reached one. */
    int sends;
    /** Forwards that ended without an answer. */
    int forwards;
    /** An attempt ended without an answer after it may have reached an executor. */
    boolean mayHaveRun;

    boolean callerDisconnected;
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
