package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.membership.ServiceLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Load of one service at the peers: their last reports, corrected by the requests forwarded since. Not thread-
 * safe.
 */
final class PeerTable {
    /** Factor by which the local queue must exceed a peer's, so that small differences don't cause forwards. */
    private static final double BACKLOG_FACTOR = 2;

    /** Load of one peer. */
    private static final class Peer {
        final String vmId;
        String dataCentre = "";
        int freeSlots;
        int queued;
        int slots;
        int sentSinceReport;
        boolean refusedSinceReport;

        Peer(String vmId) {
            this.vmId = vmId;
        }

        int expectedFree() {
            return refusedSinceReport ? 0 : Math.max(0, freeSlots - sentSinceReport);
        }

        double backlog() {
            return slots == 0 || refusedSinceReport
                    ? Double.POSITIVE_INFINITY
                    : (double) (queued + sentSinceReport) / slots;
        }
    }

    private final RoutingOptions options;
    private final UniformRandomProvider random;
    private final Map<String, Peer> peers = new TreeMap<>();
    private String ownDataCentre = "";

    PeerTable(RoutingOptions options, UniformRandomProvider random) {
        this.options = options;
        this.random = random;
    }

    void update(MembershipView view, List<Endpoint> endpoints, SlotTable slots, String service) {
        ownDataCentre = view.self().dataCentre();
        peers.keySet().removeIf(id -> view.entryVms().stream()
                .noneMatch(vm -> isUsable(vm, view) && vm.id().equals(id)));
        for (EntryVm vm : view.entryVms()) {
            if (isUsable(vm, view)) {
                Peer peer = peers.computeIfAbsent(vm.id(), Peer::new);
                peer.dataCentre = vm.dataCentre();
                peer.slots = slotsOf(vm, endpoints, slots);
                applyReport(peer, vm.services(), service);
            }
        }
    }

    void onForwarded(String vmId) {
        Peer peer = peers.get(vmId);
        if (peer != null) {
            peer.sentSinceReport++;
        }
    }

    void onRefused(String vmId) {
        Peer peer = peers.get(vmId);
        if (peer != null) {
            peer.refusedSinceReport = true;
        }
    }

    boolean hasSlots() {
        return peers.values().stream().anyMatch(p -> p.slots > 0);
    }

    /**
     * Chooses the peer for a request that finds no free slot at this VM; null if the request is to wait.
     *
     * @param ownBacklog waiting requests per own slot
     */
    @Nullable
    String select(Request request, double expectedWaitMs, double ownBacklog) {
        int bytes = request.arrival.bodyBytes();
        if (bytes > RoutingOptions.MAX_FORWARD_BODY_BYTES) {
            return null;
        }
        boolean bulk = request.requestClass() == RequestClass.BULK && options.has(Safeguard.RESERVED_SLOTS);
        Peer peer = choose(bulk, p -> p.dataCentre.equals(ownDataCentre));
        if (peer == null) {
            peer = choose(bulk, p -> !p.dataCentre.equals(ownDataCentre) && isSameRegion(p));
        }
        boolean worthIt = expectedWaitMs > options.settings().remoteWorthItMs();
        if (peer == null && worthIt && bytes <= RoutingOptions.MAX_REMOTE_BODY_BYTES) {
            peer = choose(bulk, p -> !isSameRegion(p));
        }
        if (peer == null) {
            peer = shorterQueue(ownBacklog);
        }
        return peer == null ? null : peer.vmId;
    }

    /**
     * Power of two choices: the one with more free slots of two random peers, so that VMs don't all choose the same
     * peer.
     */
    @Nullable
    private Peer choose(boolean bulk, Predicate<Peer> condition) {
        List<Peer> free = new ArrayList<>();
        for (Peer peer : peers.values()) {
            int reserved = bulk ? SlotReserve.reservedOf(peer.slots) : 0;
            if (peer.expectedFree() > reserved && condition.test(peer)) {
                free.add(peer);
            }
        }
        if (free.isEmpty()) {
            return null;
        }
        Peer first = free.get(random.nextInt(free.size()));
        Peer second = free.get(random.nextInt(free.size()));
        return second.expectedFree() > first.expectedFree() ? second : first;
    }

    /**
     * The peer of this data centre with the shortest queue. Slots are not spread evenly over VMs, so a VM with few
     * slots would otherwise have the longest wait.
     */
    @Nullable
    private Peer shorterQueue(double ownBacklog) {
        Peer best = null;
        for (Peer peer : peers.values()) {
            boolean shorter = ownBacklog > BACKLOG_FACTOR * peer.backlog() + 1;
            if (shorter && peer.dataCentre.equals(ownDataCentre) && (best == null || peer.backlog() < best.backlog())) {
                best = peer;
            }
        }
        return best;
    }

    private boolean isSameRegion(Peer peer) {
        return options.regionOf(peer.dataCentre).equals(options.regionOf(ownDataCentre));
    }

    private static boolean isUsable(EntryVm vm, MembershipView view) {
        return vm.liveness() == Liveness.LIVE && !vm.id().equals(view.self().id());
    }

    private static int slotsOf(EntryVm vm, List<Endpoint> endpoints, SlotTable slots) {
        int sum = 0;
        for (Endpoint endpoint : endpoints) {
            if (endpoint.liveness() == Liveness.LIVE && endpoint.dataCentre().equals(vm.dataCentre())) {
                sum += slots.slots(endpoint, vm.id());
            }
        }
        return sum;
    }

    private static void applyReport(Peer peer, List<ServiceLoad> loads, String service) {
        peer.sentSinceReport = 0;
        peer.refusedSinceReport = false;
        peer.freeSlots = 0;
        peer.queued = 0;
        for (ServiceLoad load : loads) {
            if (load.service().equals(service)) {
                peer.freeSlots = load.freeSlots();
                peer.queued = load.queued();
            }
        }
    }
}
