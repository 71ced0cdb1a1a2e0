package io.radishspindle.routing;

import io.radishspindle.error.Failure;

/** Outputs of {@link RoutingCore}, carried out in order. Implementations are immutable. */
public sealed interface RoutingAction {
    /** Sends the request to an executor; answered by {@link RoutingEvent.AttemptCompleted}. */
    record SendToExecutor(long requestId, int attempt, String endpointId, String host, int port, long deadlineAtMs)
            implements RoutingAction {}

    /** Forwards the request to a peer; answered by {@link RoutingEvent.AttemptCompleted}. */
    record ForwardToPeer(long requestId, int attempt, String vmId, long deadlineAtMs) implements RoutingAction {}

    /** Passes the answer of the attempt to the caller; final. */
    record Deliver(long requestId, int attempt) implements RoutingAction {}

    /** Answers the caller with a failure; final. */
    record Refuse(long requestId, Failure failure) implements RoutingAction {}

    /**
     * The request left the queue because its caller closed its connection; it did not run unless {@code mayHaveRun}.
     * Final.
     */
    record Abandon(long requestId, boolean mayHaveRun) implements RoutingAction {}

    /** Probes an endpoint; answered by {@link RoutingEvent.ProbeCompleted}. */
    record Probe(String endpointId, String host, int port, long sentAtMs, long deadlineAtMs) implements RoutingAction {}
}
