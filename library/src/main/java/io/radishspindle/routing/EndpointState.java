package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.Liveness;

/**
 * What this VM knows of an executor of its data centre. Belongs to one {@link RoutingCore}; not thread-safe.
 *
 * <p>Invariant: new work is possible only while the view and the probes find the endpoint live.
 */
final class EndpointState {
    /** Missed probes after which an endpoint gets no new work. */
    private static final int SUSPECT_AFTER_MISSED = 2;
    /** Probes sent after the last sign of leaving that must find the endpoint live before it gets work again. */
    private static final int LIVE_PROBES_TO_RETURN = 2;

    Endpoint endpoint;
    int assignedSlots;
    int connectionShare;
    int inUse;
    int rampSlots = Integer.MAX_VALUE;
    int missedProbes;
    int consecutiveFailures;
    int ejections;
    long ejectedUntilMs = Long.MIN_VALUE;
    long busyUntilMs = Long.MIN_VALUE;
    long nextProbeAtMs = Long.MIN_VALUE;
    boolean probing;
    boolean listed = true;
    double latencyMs;
    int latencySamples;
    String lastErrorCaller = "";
    private boolean leaving;
    private long leavingSinceMs;
    private int liveProbes;

    EndpointState(Endpoint endpoint) {
        this.endpoint = endpoint;
    }

    String id() {
        return endpoint.id();
    }

    boolean isLeaving() {
        return leaving;
    }

    void sawLeaving(long nowMs) {
        leaving = true;
        leavingSinceMs = nowMs;
        liveProbes = 0;
    }

    /** A live answer to an older probe must not undo a newer sign of leaving. */
    void sawLiveProbe(long sentAtMs) {
        missedProbes = 0;
        if (leaving && sentAtMs > leavingSinceMs) {
            liveProbes++;
            leaving = liveProbes < LIVE_PROBES_TO_RETURN;
        }
    }

    boolean isUsable() {
        return listed && !leaving && missedProbes < SUSPECT_AFTER_MISSED && endpoint.liveness() == Liveness.LIVE;
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    int capacity(long nowMs) {
        if (!isUsable() || isEjected(nowMs)) {
            return 0;
        }
        return Math.min(Math.min(assignedSlots, connectionShare), rampSlots);
    }

    int freeSlots(long nowMs) {
        return nowMs < busyUntilMs ? 0 : Math.max(0, capacity(nowMs) - inUse);
    }
}
