package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.protocol.message.RelayDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A data centre of another region, known through the digests of its relay. Not thread-safe; belongs to the membership
 * core.
 *
 * <p>Invariant: a member whose state was not acknowledged is part of each digest until it is.
 */
final class RemoteDataCentre {
    /** A digest is passed on completely after this time, for VMs that started since the last change. */
    private static final long FULL_EVERY_MS = 5_000;

    private static final long LOAD_EVERY_MS = 3_000;

    /** State of a member as last sent, and in which digest. */
    private record SentState(MemberState state, long sequence, long sentAtMs) {}

    private final Peer.Timing timing;
    private final TreeSet<String> vmIds = new TreeSet<>();
    private final Map<String, MemberState> members = new TreeMap<>();
    private final Map<String, SentState> sent = new HashMap<>();
    private boolean heard;
    private String relayVm = "";
    private long relayIncarnation;
    private long relaySequence;
    private long lastDigestAtMs;
    private String target = "";
    private long targetIncarnation;
    private long sentSequence;
    private long ackedSequence;
    private long nextSendAtMs;
    private long nextFullAtMs;

    RemoteDataCentre(Peer.Timing timing, long nowMs) {
        this.timing = timing;
        lastDigestAtMs = nowMs;
        nextSendAtMs = nowMs;
    }

    void setVms(Iterable<String> ids) {
        vmIds.clear();
        ids.forEach(vmIds::add);
        members.keySet().retainAll(vmIds);
    }

    boolean isDue(long nowMs) {
        return nowMs >= nextSendAtMs;
    }

    /** Takes a digest; false if it is older than what is known. */
    boolean receive(long nowMs, RelayDigest digest, long localIncarnation) {
        boolean sameRelay = digest.relayVm().equals(relayVm);
        if (sameRelay && digest.incarnation() < relayIncarnation) {
            return false;
        }
        boolean sameIncarnation = sameRelay && digest.incarnation() == relayIncarnation;
        if (sameIncarnation && digest.sequence() < relaySequence) {
            return false;
        }
        relayVm = digest.relayVm();
        relayIncarnation = digest.incarnation();
        relaySequence = digest.sequence();
        lastDigestAtMs = nowMs;
        heard = true;
        acknowledge(digest, localIncarnation);
        for (MemberState member : Peer.orEmpty(digest.members())) {
            members.put(member.vmId(), normalised(member));
        }
        return true;
    }

    private static MemberState normalised(MemberState m) {
        return new MemberState(
                m.vmId(),
                m.liveness(),
                m.configRevision(),
                Peer.orEmpty(m.groups()),
                Peer.orEmpty(m.services()),
                Peer.orEmpty(m.leavingEndpoints()));
    }

    private void acknowledge(RelayDigest digest, long localIncarnation) {
        if (digest.forwarded() || !digest.relayVm().equals(target)) {
            return;
        }
        if (digest.incarnation() != targetIncarnation) {
            resetTarget(target, digest.incarnation());
        }
        if (digest.ackedIncarnation() == localIncarnation && digest.ackedSequence() <= sentSequence) {
            ackedSequence = Math.max(ackedSequence, digest.ackedSequence());
        }
    }

    private void resetTarget(String vmId, long incarnation) {
        target = vmId;
        targetIncarnation = incarnation;
        ackedSequence = 0;
        sent.clear();
    }

    /** The VM to which digests go: the live VM with the lowest id; without news, each VM of the data centre in turn. */
    String chooseTarget(long nowMs) {
        if (vmIds.isEmpty()) {
            return "";
        }
        for (String id : vmIds) {
            if (state(nowMs, id).liveness() == Liveness.LIVE) {
                return id;
            }
        }
        List<String> candidates = List.copyOf(vmIds);
        long turn = nowMs / timing.deadAfterMs();
        return candidates.get((int) Math.floorMod(turn, (long) candidates.size()));
    }

    RelayDigest nextDigest(
            long nowMs,
            String toVm,
            String ownDataCentre,
            String localVm,
            long localIncarnation,
            List<MemberState> own) {
        nextSendAtMs = nowMs + timing.intervalMs();
        if (!toVm.equals(target)) {
            resetTarget(toVm, toVm.equals(relayVm) ? relayIncarnation : 0);
        }
        sentSequence++;
        List<MemberState> changed = new ArrayList<>();
        for (MemberState member : own) {
            SentState previous = sent.get(member.vmId());
            if (previous == null || isWorthSending(previous, member, nowMs)) {
                sent.put(member.vmId(), new SentState(member, sentSequence, nowMs));
                changed.add(member);
            } else if (previous.sequence() > ackedSequence) {
                changed.add(previous.state());
            }
        }
        long acked = toVm.equals(relayVm) ? relaySequence : 0;
        long ackedIncarnation = toVm.equals(relayVm) ? relayIncarnation : 0;
        return new RelayDigest(
                ownDataCentre, localVm, localIncarnation, sentSequence, ackedIncarnation, acked, false, changed);
    }

    /** Load numbers change all the time and only guide choices, so they cross regions less often than other changes. */
    private static boolean isWorthSending(SentState previous, MemberState member, long nowMs) {
        if (previous.state().equals(member)) {
            return false;
        }
        boolean loadOnly = previous.state().withoutLoad().equals(member.withoutLoad());
        return !loadOnly || nowMs - previous.sentAtMs() >= LOAD_EVERY_MS;
    }

    /** The digest as it is passed on inside the own data centre: complete after a change, else only a sign of life. */
    RelayDigest passedOn(long nowMs, RelayDigest received) {
        boolean full =
                nowMs >= nextFullAtMs || !Peer.orEmpty(received.members()).isEmpty();
        if (full) {
            nextFullAtMs = nowMs + FULL_EVERY_MS;
        }
        List<MemberState> all = full ? List.copyOf(members.values()) : List.of();
        return new RelayDigest(
                received.dataCentre(),
                received.relayVm(),
                received.incarnation(),
                received.sequence(),
                0,
                0,
                true,
                all);
    }

    void restartTimers(long nowMs) {
        lastDigestAtMs = nowMs;
        nextSendAtMs = nowMs;
    }

    /** State of a VM; without fresh digests its liveness decays. */
    MemberState state(long nowMs, String vmId) {
        MemberState state = members.getOrDefault(vmId, MemberState.unheard(vmId));
        long silentMs = nowMs - lastDigestAtMs;
        if (silentMs >= timing.deadAfterMs()) {
            return state.withLiveness(Liveness.DEAD);
        }
        boolean stale = !heard || silentMs >= timing.suspectAfterMs();
        return stale && state.liveness() == Liveness.LIVE ? state.withLiveness(Liveness.SUSPECT) : state;
    }
}
