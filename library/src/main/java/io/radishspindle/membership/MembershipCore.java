package io.radishspindle.membership;

import io.radishspindle.membership.MembershipAction.Resumed;
import io.radishspindle.membership.MembershipAction.Send;
import io.radishspindle.membership.MembershipAction.ViewChanged;
import io.radishspindle.membership.MembershipEvent.DigestReceived;
import io.radishspindle.membership.MembershipEvent.HeartbeatReceived;
import io.radishspindle.membership.MembershipEvent.Leave;
import io.radishspindle.membership.MembershipEvent.ListingReceived;
import io.radishspindle.membership.MembershipEvent.LocalStateChanged;
import io.radishspindle.membership.MembershipEvent.Tick;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.RelayDigest;
import io.radishspindle.settings.EntrySettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Decides which entry VMs are live, suspect, dead or leaving. Deterministic: no I/O, no clock, no randomness. Not
 * thread-safe; belongs to one event loop.
 *
 * <p>VMs of the own region are judged by their own heartbeats, VMs of other regions by the digests of their relay.
 *
 * <p>Invariant: a pause of this VM makes no other VM suspect or dead.
 */
final class MembershipCore {
    private final String self;
    private final String dataCentre;
    private final long incarnation;
    private final long suspectAfterMs;
    private final Peer.Timing localTiming;
    private final Peer.Timing remoteTiming;
    private final Directory directory;
    private final Map<String, Peer> peers = new TreeMap<>();
    private final Map<String, RemoteDataCentre> remotes = new TreeMap<>();
    private MemberState local;
    private boolean leaving;
    private long lastTickAtMs;
    private @Nullable MembershipView lastView;

    MembershipCore(long nowMs, EntrySettings settings, long incarnation) {
        EntrySettings.Peers p = settings.peers();
        self = settings.vm().id();
        dataCentre = settings.vm().dataCentre();
        this.incarnation = incarnation;
        suspectAfterMs = p.suspectAfterMs();
        localTiming = new Peer.Timing(p.heartbeatMs(), p.suspectAfterMs(), p.deadAfterMs());
        // Remote heartbeats are rarer, so silence is counted from two missed ones.
        long allowanceMs = 2 * p.remoteHeartbeatMs();
        remoteTiming =
                new Peer.Timing(p.remoteHeartbeatMs(), p.suspectAfterMs() + allowanceMs, p.deadAfterMs() + allowanceMs);
        directory = new Directory(settings);
        local = new MemberState(self, Liveness.LIVE, 0, List.of(), List.of(), List.of());
        lastTickAtMs = nowMs;
        syncPeers(nowMs);
    }

    Directory directory() {
        return directory;
    }

    List<MembershipAction> handle(long nowMs, MembershipEvent event) {
        List<MembershipAction> actions = new ArrayList<>();
        if (event instanceof HeartbeatReceived e) {
            onHeartbeat(nowMs, e.fromVm(), e.heartbeat());
        } else if (event instanceof DigestReceived e) {
            onDigest(nowMs, e.fromVm(), e.digest(), actions);
        } else if (event instanceof ListingReceived e) {
            directory.update(e.listing());
            directory.prune(id -> foreignState(nowMs, id).liveness() == Liveness.DEAD);
            syncPeers(nowMs);
        } else if (event instanceof LocalStateChanged e) {
            local = new MemberState(
                    self, local.liveness(), e.configRevision(), e.groups(), e.services(), e.leavingEndpoints());
        } else if (event instanceof Leave) {
            leaving = true;
            local = local.withLiveness(Liveness.LEAVING);
            sendHeartbeats(nowMs, true, actions);
            publish(nowMs, actions);
        } else if (event instanceof Tick) {
            onTick(nowMs, actions);
        }
        return actions;
    }

    private void onTick(long nowMs, List<MembershipAction> actions) {
        long gapMs = nowMs - lastTickAtMs;
        lastTickAtMs = nowMs;
        if (gapMs >= suspectAfterMs) {
            peers.values().forEach(peer -> peer.restartTimers(nowMs));
            remotes.values().forEach(remote -> remote.restartTimers(nowMs));
            actions.add(new Resumed(gapMs));
        }
        peers.forEach((id, peer) -> peer.judge(nowMs, directory.isListedAsLeaving(id)));
        sendHeartbeats(nowMs, false, actions);
        if (isRelay()) {
            sendDigests(nowMs, actions);
        }
        publish(nowMs, actions);
    }

    private void onHeartbeat(long nowMs, String fromVm, Heartbeat heartbeat) {
        Peer peer = peers.get(fromVm);
        if (peer != null && heartbeat.vmId().equals(fromVm) && peer.receive(nowMs, heartbeat)) {
            peer.judge(nowMs, directory.isListedAsLeaving(fromVm));
        }
    }

    private void onDigest(long nowMs, String fromVm, RelayDigest digest, List<MembershipAction> actions) {
        RemoteDataCentre remote = remotes.get(digest.dataCentre());
        if (remote == null || !remote.receive(nowMs, digest, incarnation) || digest.forwarded()) {
            return;
        }
        RelayDigest copy = remote.passedOn(nowMs, digest);
        directory.vmsOf(dataCentre).stream()
                .filter(id -> !id.equals(self) && !id.equals(fromVm))
                .forEach(id -> actions.add(new Send(id, copy)));
    }

    private void sendHeartbeats(long nowMs, boolean all, List<MembershipAction> actions) {
        peers.forEach((id, peer) -> {
            if (all || peer.isDue(nowMs)) {
                actions.add(new Send(id, peer.nextHeartbeat(nowMs, incarnation, leaving, local)));
            }
        });
    }

    /** The live VM with the lowest id is the relay of its data centre. */
    private boolean isRelay() {
        return !leaving
                && directory.vmsOf(dataCentre).stream()
                        .filter(id -> id.compareTo(self) < 0)
                        .noneMatch(id -> stateOf(id).liveness() == Liveness.LIVE);
    }

    private MemberState stateOf(String id) {
        Peer peer = peers.get(id);
        return peer == null ? MemberState.unheard(id) : peer.state();
    }

    private void sendDigests(long nowMs, List<MembershipAction> actions) {
        List<MemberState> own = directory.vmsOf(dataCentre).stream()
                .map(id -> id.equals(self) ? local : stateOf(id))
                .toList();
        for (RemoteDataCentre remote : remotes.values()) {
            String target = remote.isDue(nowMs) ? remote.chooseTarget(nowMs) : "";
            if (!target.isEmpty()) {
                RelayDigest digest = remote.nextDigest(nowMs, target, dataCentre, self, incarnation, own);
                actions.add(new Send(target, digest));
            }
        }
    }

    /** Makes the peers those of the directory. */
    private void syncPeers(long nowMs) {
        for (String id : directory.vmIds()) {
            if (!id.equals(self) && directory.isSameRegion(id)) {
                boolean own = directory.dataCentreOf(id).equals(dataCentre);
                peers.computeIfAbsent(id, key -> new Peer(key, own ? localTiming : remoteTiming, nowMs));
            }
        }
        peers.keySet().removeIf(id -> !directory.isKnown(id));
        for (String other : directory.otherRegionDataCentres()) {
            remotes.computeIfAbsent(other, key -> new RemoteDataCentre(remoteTiming, nowMs))
                    .setVms(directory.vmsOf(other));
        }
        remotes.keySet().retainAll(directory.otherRegionDataCentres());
    }

    private void publish(long nowMs, List<MembershipAction> actions) {
        MembershipView view = view(nowMs);
        if (!view.equals(lastView)) {
            lastView = view;
            actions.add(new ViewChanged(view));
        }
    }

    MembershipView view(long nowMs) {
        Map<String, MemberState> states = new TreeMap<>();
        for (String id : directory.vmIds()) {
            states.put(id, id.equals(self) ? local : foreignState(nowMs, id));
        }
        return ViewBuilder.build(self, directory, states);
    }

    private MemberState foreignState(long nowMs, String id) {
        RemoteDataCentre remote = remotes.get(directory.dataCentreOf(id));
        return remote == null ? stateOf(id) : remote.state(nowMs, id);
    }
}
