package io.radishspindle.standin;

import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Mode;

/**
 * Decides whose messages a worker obeys, and until when. Not thread-safe.
 *
 * <p>Invariants: epoch and term never decrease. Only a claim makes its sender the holder, so that the owner always
 * learns what runs, also after the worker restarted. Leases are counted from the echoed worker time, never from the
 * arrival of a message. An echo from the future stems from an earlier process and extends nothing. A restarted worker
 * has forgotten its epoch: it refuses everything until the authority of every owner that it may have obeyed has
 * lapsed, and a caretaker's term of an epoch that it does not know.
 */
final class WorkerFence {
    private final long quietUntilMs;
    private long epoch;
    private long term;
    private String holder = "";
    private long lastSequence;
    private long controlLeaseEndsAtMs = Long.MIN_VALUE;
    private long runLeaseEndsAtMs = Long.MIN_VALUE;

    /** @param quietUntilMs until then every message is refused */
    WorkerFence(long quietUntilMs) {
        this.quietUntilMs = quietUntilMs;
    }

    /** Takes a message in; false if it must change nothing. */
    boolean admit(long nowMs, ControlRequest request) {
        if (nowMs < quietUntilMs) {
            return false;
        }
        boolean admitted = isFromHolder(request) || (request.mode() == Mode.CLAIM && mayReplaceHolder(nowMs, request));
        if (!admitted) {
            return false;
        }
        if (!isFromHolder(request)) {
            replaceHolder(request);
        }
        lastSequence = request.sequence();
        extendLeases(nowMs, request);
        return true;
    }

    boolean isControlLeaseValid(long nowMs) {
        return nowMs < controlLeaseEndsAtMs;
    }

    boolean isRunLeaseValid(long nowMs) {
        return nowMs < runLeaseEndsAtMs;
    }

    long epoch() {
        return epoch;
    }

    long term() {
        return term;
    }

    String holder() {
        return holder;
    }

    private boolean isFromHolder(ControlRequest request) {
        return request.epoch() == epoch
                && request.term() == term
                && request.holder().equals(holder)
                && request.sequence() > lastSequence;
    }

    private boolean mayReplaceHolder(long nowMs, ControlRequest request) {
        if (request.epoch() != epoch) {
            return request.epoch() > epoch && request.term() == 0;
        }
        return request.term() > term && !isControlLeaseValid(nowMs);
    }

    private void replaceHolder(ControlRequest request) {
        epoch = request.epoch();
        term = request.term();
        holder = request.holder();
        controlLeaseEndsAtMs = Long.MIN_VALUE;
    }

    private void extendLeases(long nowMs, ControlRequest request) {
        long echoedMs = request.echoedWorkerTimeMs();
        if (request.mode() == Mode.CLAIM || echoedMs <= 0 || echoedMs > nowMs) {
            return;
        }
        runLeaseEndsAtMs = Math.max(runLeaseEndsAtMs, echoedMs + request.runLeaseMs());
        if (request.mode() == Mode.CONTROL) {
            controlLeaseEndsAtMs = Math.max(controlLeaseEndsAtMs, echoedMs + request.controlLeaseMs());
        }
    }
}
