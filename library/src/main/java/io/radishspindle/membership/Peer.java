package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.protocol.message.Heartbeat;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * One other entry VM with which heartbeats are exchanged directly. Not thread-safe; belongs to the membership core.
 *
 * <p>Invariant: incarnation and received sequence never decrease, so a late heartbeat changes nothing.
 */
final class Peer {
    /** Answers to a heartbeat are allowed this many intervals, because the peer acknowledges in its own next one. */
    private static final int ACK_INTERVALS = 2;

    private static final int MAX_UNACKED = 64;

    /** A heartbeat that was sent and not yet acknowledged. */
    private record Sent(long sequence, long sentAtMs) {}

    private final String id;
    private final Timing timing;
    private final Deque<Sent> unacked = new ArrayDeque<>();
    private MemberState state;
    private boolean announcesLeaving;
    private boolean heard;
    private long incarnation;
    private long receivedSequence;
    private long sentSequence;
    private long lastHeardAtMs;
    private long lastAckedAtMs;
    private long nextSendAtMs;

    /** Times of one kind of peer, in milliseconds. */
    record Timing(long intervalMs, long suspectAfterMs, long deadAfterMs) {}

    Peer(String id, Timing timing, long nowMs) {
        this.id = id;
        this.timing = timing;
        state = MemberState.unheard(id);
        lastHeardAtMs = nowMs;
        lastAckedAtMs = nowMs;
        nextSendAtMs = nowMs;
    }

    MemberState state() {
        return state;
    }

    boolean isDue(long nowMs) {
        return nowMs >= nextSendAtMs;
    }

    Heartbeat nextHeartbeat(long nowMs, long localIncarnation, boolean leaving, MemberState local) {
        nextSendAtMs = nowMs + timing.intervalMs();
        sentSequence++;
        unacked.add(new Sent(sentSequence, nowMs));
        if (unacked.size() > MAX_UNACKED) {
            unacked.remove();
        }
        return new Heartbeat(
                local.vmId(),
                localIncarnation,
                sentSequence,
                receivedSequence,
                leaving,
                local.configRevision(),
                local.groups(),
                local.services(),
                local.leavingEndpoints());
    }

    /** Takes a heartbeat; false if it is older than what is known. */
    boolean receive(long nowMs, Heartbeat heartbeat) {
        if (heartbeat.incarnation() < incarnation
                || (heartbeat.incarnation() == incarnation && heartbeat.sequence() <= receivedSequence)) {
            return false;
        }
        boolean restarted = heartbeat.incarnation() > incarnation;
        incarnation = heartbeat.incarnation();
        receivedSequence = heartbeat.sequence();
        lastHeardAtMs = nowMs;
        if (restarted) {
            lastAckedAtMs = nowMs;
        }
        acknowledge(heartbeat.receivedSequence());
        heard = true;
        announcesLeaving = heartbeat.leaving();
        state = new MemberState(
                id,
                state.liveness(),
                heartbeat.configRevision(),
                orEmpty(heartbeat.groups()),
                orEmpty(heartbeat.services()),
                orEmpty(heartbeat.leavingEndpoints()));
        return true;
    }

    /** An older peer may send fewer fields, which arrive as null. */
    @SuppressWarnings("NullAway")
    static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    private void acknowledge(long sequence) {
        if (sequence > sentSequence) {
            return; // Refers to an earlier incarnation of this VM.
        }
        while (!unacked.isEmpty() && unacked.element().sequence() <= sequence) {
            lastAckedAtMs = Math.max(lastAckedAtMs, unacked.remove().sentAtMs());
        }
    }

    /** After a pause of this VM, silence is counted anew: the peers were not silent, this VM did not listen. */
    void restartTimers(long nowMs) {
        lastHeardAtMs = nowMs;
        lastAckedAtMs = nowMs;
        nextSendAtMs = nowMs;
    }

    /** Judges the peer by the last heartbeat received and by the last one that the peer acknowledged. */
    void judge(long nowMs, boolean listedAsLeaving) {
        state = state.withLiveness(liveness(nowMs, listedAsLeaving));
    }

    private Liveness liveness(long nowMs, boolean listedAsLeaving) {
        long deafMs = nowMs - lastAckedAtMs - ACK_INTERVALS * timing.intervalMs();
        long silentMs = Math.max(nowMs - lastHeardAtMs, deafMs);
        if (silentMs >= timing.deadAfterMs()) {
            return Liveness.DEAD;
        }
        if (announcesLeaving || listedAsLeaving) {
            return Liveness.LEAVING;
        }
        return heard && silentMs < timing.suspectAfterMs() ? Liveness.LIVE : Liveness.SUSPECT;
    }
}
