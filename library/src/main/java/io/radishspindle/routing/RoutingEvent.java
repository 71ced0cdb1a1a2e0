package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;

/** Inputs of {@link RoutingCore}. Implementations are immutable. */
public sealed interface RoutingEvent {
    /** A new view of the entry VMs and endpoints. */
    record ViewChanged(MembershipView view) implements RoutingEvent {}

    /**
     * A request whose body has been read and, if it has an idempotency key, whose intent has been recorded.
     *
     * @param requestId unique at this VM
     * @param acceptedAtMs when its first byte was read; a request accepted before the drain is still served
     * @param hops how often the request was forwarded; at most one
     */
    record RequestArrived(
            long requestId,
            String service,
            String caller,
            RequestClass requestClass,
            boolean idempotent,
            long acceptedAtMs,
            long deadlineAtMs,
            int bodyBytes,
            int hops)
            implements RoutingEvent {}

    /** The end of an attempt started by {@code SendToExecutor} or {@code ForwardToPeer}; exactly one per attempt. */
    record AttemptCompleted(long requestId, int attempt, AttemptOutcome outcome) implements RoutingEvent {}

    /** The caller closed its connection. */
    record CallerDisconnected(long requestId) implements RoutingEvent {}

    /** State of an endpoint as a probe found it; missed if the probe got no answer. */
    enum ProbeResult {
        LIVE,
        LEAVING,
        MISSED
    }

    /** The end of a probe; exactly one per {@code Probe}. */
    record ProbeCompleted(String endpointId, long sentAtMs, ProbeResult result) implements RoutingEvent {}

    /** The fleet configuration changed the limits of services. */
    record LimitsChanged(ServiceLimitsTable limits) implements RoutingEvent {}

    /** Advances time; sent every {@link RoutingOptions#TICK_MS}. */
    record Tick() implements RoutingEvent {}

    /** New requests are refused from now on. */
    record DrainStarted() implements RoutingEvent {}
}
