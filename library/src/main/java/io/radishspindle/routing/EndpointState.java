package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.Liveness;
import java.util.Optional;

/**
 * What this VM knows of an executor of its data centre. Belongs to one {@link RoutingCore}; not thread-safe.
 *
 * <p>Invariant: new work is possible only while the view and the probes find the endpoint live.
 */
final class EndpointState {
    /** Longest time between probes; a longer setting would make {@link #MAX_PROBE_AGE_MS} lapse between them. */
    static final long MAX_PROBE_INTERVAL_MS = 1_000;
    /**
     * An endpoint gets new work only if it answered "live" to a probe that was sent at most this long ago. A leaving
     * endpoint therefore gets no new work after this time, even from a VM that was paused or lost probes. Two missed
     * probes in a row exceed it.
     */
    static final long MAX_PROBE_AGE_MS = 2_500;
    /** Probes sent after the last sign of leaving that must find the endpoint live before it gets work again. */
    private static final int LIVE_PROBES_TO_RETURN = 2;

    Endpoint endpoint;
    int assignedSlots;
    int connectionShare;
    int inUse;
    int rampSlots = Integer.MAX_VALUE;
    int consecutiveFailures;
    int ejections;
    long ejectedUntilMs = Long.MIN_VALUE;
    long busyUntilMs = Long.MIN_VALUE;
    boolean probing;
    boolean listed = true;
    /** Moving average of the answer time as a multiple of the usual time of the caller's requests. */
    double slowness;

    int latencySamples;
    String lastErrorCaller = "";
    private long nextProbeAtMs = Long.MIN_VALUE;
    private boolean leaving;
    private long verifiedAtMs;
    private boolean verified;
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

    /** Takes a live answer; one to an older probe must not undo a newer sign of leaving. */
    void sawLiveProbe(long sentAtMs) {
        if (leaving && sentAtMs > leavingSinceMs) {
            liveProbes++;
            leaving = liveProbes < LIVE_PROBES_TO_RETURN;
        }
        verified = true;
        verifiedAtMs = sentAtMs;
    }

    boolean isUsable(long nowMs) {
        boolean fresh = verified && nowMs - verifiedAtMs <= MAX_PROBE_AGE_MS;
        return listed && fresh && !leaving && endpoint.liveness() == Liveness.LIVE;
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** The probe that is due, if any; at most one is open. */
    Optional<RoutingAction> nextProbe(long nowMs, long intervalMs) {
        if (probing || !listed || assignedSlots == 0 || nowMs < nextProbeAtMs) {
            return Optional.empty();
        }
        long boundedMs = Math.min(intervalMs, MAX_PROBE_INTERVAL_MS);
        probing = true;
        nextProbeAtMs = nowMs + boundedMs;
        return Optional.of(new RoutingAction.Probe(id(), endpoint.host(), endpoint.port(), nowMs, nowMs + boundedMs));
    }

    int capacity(long nowMs) {
        if (!isUsable(nowMs) || isEjected(nowMs)) {
            return 0;
        }
        return Math.min(Math.min(assignedSlots, connectionShare), rampSlots);
    }

    int freeSlots(long nowMs) {
        return nowMs < busyUntilMs ? 0 : Math.max(0, capacity(nowMs) - inUse);
    }
}
