package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.Liveness;
import java.util.Optional;

/**
 * State of an executor of this VM's data centre, from the view, probes and answers. Belongs to one {@link RoutingCore};
 * not thread-safe.
 *
 * <p>Invariant: new work is possible only while the view and the probes find the endpoint live.
 */
final class EndpointState {
    /**
     * Longest time between probes, in milliseconds; with a longer one {@link #MAX_PROBE_AGE_MS} would pass between
     * them.
     */
    static final long MAX_PROBE_INTERVAL_MS = 1_000;
    /**
     * An endpoint gets new work only if it answered "live" to a probe sent at most this many milliseconds ago. A
     * leaving endpoint therefore gets no new work after this time, even from a VM that was paused or lost probes. Two
     * missed probes in a row exceed it.
     */
    static final long MAX_PROBE_AGE_MS = 2_500;
    /** Live probes, sent after the last "leaving" signal, that an endpoint needs before it gets work again. */
    private static final int LIVE_PROBES_TO_RETURN = 2;

    Endpoint endpoint;
    int assignedSlots;
    int connectionShare;
    int inUse;
    /** Limit of used slots during the slow start after an ejection; no limit otherwise. */
    int slowStartSlots = Integer.MAX_VALUE;

    int consecutiveFailures;
    int ejections;
    long ejectedUntilMs = Long.MIN_VALUE;
    long busyUntilMs = Long.MIN_VALUE;
    boolean probing;
    boolean listed = true;
    /** Moving average of response times, each divided by the average response time of the caller's requests. */
    double slowness;

    int latencySamples;
    String lastErrorCaller = "";
    private long nextProbeAtMs = Long.MIN_VALUE;
    private boolean leaving;
    private long liveProbeSentAtMs;
    private boolean hasLiveProbe;
    private long leavingSignalAtMs;
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

    void onLeavingSignal(long nowMs) {
        leaving = true;
        leavingSignalAtMs = nowMs;
        liveProbes = 0;
    }

    /** Handles a live probe; one sent before the last "leaving" signal must not cancel that signal. */
    void onLiveProbe(long sentAtMs) {
        if (leaving && sentAtMs > leavingSignalAtMs) {
            liveProbes++;
            leaving = liveProbes < LIVE_PROBES_TO_RETURN;
        }
        hasLiveProbe = true;
        liveProbeSentAtMs = sentAtMs;
    }

    boolean isUsable(long nowMs) {
        boolean fresh = hasLiveProbe && nowMs - liveProbeSentAtMs <= MAX_PROBE_AGE_MS;
        return listed && fresh && !leaving && endpoint.liveness() == Liveness.LIVE;
    }

    boolean isEjected(long nowMs) {
        return nowMs < ejectedUntilMs;
    }

    /** The probe that is due, if any; at most one is in flight. */
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
        return Math.min(Math.min(assignedSlots, connectionShare), slowStartSlots);
    }

    int freeSlots(long nowMs) {
        return nowMs < busyUntilMs ? 0 : Math.max(0, capacity(nowMs) - inUse);
    }
}
