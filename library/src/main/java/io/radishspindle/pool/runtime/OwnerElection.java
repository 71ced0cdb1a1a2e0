package io.radishspindle.pool.runtime;

import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.ControlView.Ownership;
import io.radishspindle.pool.runtime.Records.Member;
import io.radishspindle.protocol.PeerMessenger;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Decides when this VM claims a pool. Safety does not depend on it: a claim is one conditional write, and its revision
 * is the fencing token that makes every worker reject earlier owners. Confined to one event loop.
 */
final class OwnerElection {
    /** Delay per rank among the candidates, in milliseconds: several times the duration of a store write. */
    private static final long RANK_DELAY_MS = 250;
    /** Delay before the first candidate claims, in milliseconds; VMs that start together discover each other in it. */
    private static final long FIRST_CLAIM_DELAY_MS = 50;

    /** Cached ranking of the candidates, with the inputs for which it is valid. */
    private record Candidates(String excluded, long viewVersion, Set<String> ownPools, List<String> order) {}

    /** Called when a claim has succeeded. */
    interface Listener {
        void onClaimed(String pool, long fencingToken);
    }

    private final Clock clock;
    private final SharedStore store;
    private final ControlView view;
    private final NodeIdentity self;
    private final NodeLease lease;
    private final PeerMessenger messenger;
    private final Listener listener;
    /** Fencing tokens of the owned pools, by pool. */
    private final Map<String, Long> fencingTokens = new HashMap<>();
    /** Pools whose claim by this VM is in flight. */
    private final Set<String> claiming = new HashSet<>();

    /** Probes of the owners for which this VM is the first stand-by, by pool. */
    private final Map<String, OwnerProbe> probes = new HashMap<>();

    private final long startedMs;
    /** When the pools that this VM has owned were released or lost. */
    private final Map<String, Long> releasedMs = new HashMap<>();

    private final TakeoverBackoff backoff = new TakeoverBackoff();
    private final Map<String, Candidates> lastCandidates = new HashMap<>();
    private boolean closed;

    OwnerElection(
            Clock clock,
            SharedStore store,
            ControlView view,
            NodeIdentity self,
            NodeLease lease,
            PeerMessenger messenger,
            Listener listener) {
        this.clock = clock;
        this.store = store;
        this.view = view;
        this.self = self;
        this.lease = lease;
        this.messenger = messenger;
        this.listener = listener;
        startedMs = clock.nowMs();
    }

    /** Stops claiming; pools that are owned stay so until they are released. */
    void close() {
        closed = true;
    }

    /** This VM has released the pool or has been superseded as its owner. */
    void onReleased(String pool) {
        fencingTokens.remove(pool);
        releasedMs.put(pool, clock.nowMs());
    }

    /** Time for which this VM has not owned the pool, in milliseconds; 0 while it owns or claims it. */
    long notOwnerForMs(String pool) {
        return ownsOrClaims(pool) ? 0 : clock.nowMs() - lastOwnedMs(pool);
    }

    /**
     * Time at which all earlier owners of the pool on this VM had ended: the last release by this process, or its
     * start, at which earlier processes of the VM had ended.
     */
    long lastOwnedMs(String pool) {
        return releasedMs.getOrDefault(pool, startedMs);
    }

    /**
     * Whether this VM owns the pool or is claiming it. With a slow store, other VMs see a claim before its own VM has
     * the answer.
     */
    boolean ownsOrClaims(String pool) {
        return fencingTokens.containsKey(pool) || claiming.contains(pool);
    }

    /** Checks each pool; called several times a second. */
    void tick(List<String> pools) {
        if (closed || lease.id() == 0) {
            return;
        }
        long nowMs = clock.nowMs();
        for (String pool : pools) {
            backoff.observe(pool, view.owner(pool).map(Ownership::revision).orElse(0L), nowMs);
            if (!fencingTokens.containsKey(pool) && !claiming.contains(pool)) {
                checkOwner(pool, nowMs);
            }
        }
    }

    private void checkOwner(String pool, long nowMs) {
        Optional<Ownership> owner = view.owner(pool);
        if (owner.isEmpty()) {
            int rank = candidates(pool, "").indexOf(self.vmId());
            if (rank >= 0 && view.ownerlessMs(pool, nowMs) >= FIRST_CLAIM_DELAY_MS + rank * RANK_DELAY_MS) {
                claim(pool, 0, "no owner");
            }
            return;
        }
        Ownership ownership = owner.get();
        if (ownership.owner().vmId().equals(self.vmId())) {
            claim(pool, ownership.revision(), "claim of an earlier incarnation or lease");
            return;
        }
        List<String> standBys = candidates(pool, ownership.owner().vmId());
        if (!standBys.isEmpty() && standBys.get(0).equals(self.vmId())) {
            probe(pool, ownership, nowMs);
        } else {
            probes.remove(pool);
        }
    }

    private void probe(String pool, Ownership ownership, long nowMs) {
        OwnerProbe probe = probes.get(pool);
        if (probe == null || !probe.isOf(ownership)) {
            probe = new OwnerProbe(clock, messenger, pool, ownership);
            probes.put(pool, probe);
        }
        probe.check(backoff.silenceMs(pool, nowMs)).ifPresent(reason -> {
            probes.remove(pool);
            claim(pool, ownership.revision(), reason);
        });
    }

    /** Ranking is cached because sorting hundreds of VMs for each pool at each tick would load every VM. */
    private List<String> candidates(String pool, String excluded) {
        Set<String> ownPools = new HashSet<>(fencingTokens.keySet());
        ownPools.addAll(claiming);
        Candidates last = lastCandidates.get(pool);
        if (last == null
                || !last.excluded().equals(excluded)
                || last.viewVersion() != view.version()
                || !last.ownPools().equals(ownPools)) {
            last = new Candidates(excluded, view.version(), ownPools, rank(pool, excluded, ownPools));
            lastCandidates.put(pool, last);
        }
        return last.order();
    }

    /**
     * VMs that aren't draining, in order of preference as owner of a pool: VMs without a pool first, then VMs in the
     * region with the most VMs (by name among equals), which probably has most workers, then VMs with a higher
     * {@link Member#strength}. A hash of pool and VM breaks ties, which spreads the pools.
     */
    private List<String> rank(String pool, String excluded, Set<String> ownPools) {
        Map<String, Member> live = view.active();
        Map<String, Integer> vmsByRegion = new HashMap<>();
        live.values().forEach(member -> vmsByRegion.merge(member.region(), 1, Integer::sum));
        Set<String> owning = new HashSet<>();
        view.owners().forEach((other, ownership) -> {
            if (!other.equals(pool)) {
                owning.add(ownership.owner().vmId());
            }
        });
        if (ownPools.stream().anyMatch(other -> !other.equals(pool))) {
            owning.add(self.vmId());
        }
        List<String> order = new ArrayList<>(live.keySet());
        order.remove(excluded);
        order.sort(Comparator.comparing((String vm) -> owning.contains(vm))
                .thenComparing(vm -> -vmsByRegion.getOrDefault(region(live, vm), 0))
                .thenComparing(vm -> region(live, vm))
                .thenComparing(vm -> -strength(live, vm))
                .thenComparing(vm -> Hashing.wyhashFinal4().hashCharsToLong(pool + "/" + vm)));
        return order;
    }

    private static double strength(Map<String, Member> live, String vm) {
        Member member = live.get(vm);
        return member == null ? 0 : member.strength();
    }

    private static String region(Map<String, Member> live, String vm) {
        Member member = live.get(vm);
        return member == null ? "" : member.region();
    }

    private void claim(String pool, long expectedRevision, String reason) {
        claiming.add(pool);
        String key = StoreKeys.owner(pool);
        Records.Owner owner = new Records.Owner(self.vmId(), self.boot());
        // The record stays when the claim ends with the lease of this VM. The claim comes last, as the revision of the
        // transaction, which is the fencing token, has to be its own also if each item gets a revision.
        Write record = new Write(
                StoreKeys.claim(pool, self.vmId(), self.boot()),
                Records.encode(new Records.Claim(self.vmId(), expectedRevision, 0)),
                0);
        Txn txn = new Txn(
                Map.of(key, expectedRevision),
                List.of(record, new Write(key, Records.encode(owner), lease.id())),
                List.of());
        store.transact(txn).onSuccess(result -> onClaimResult(pool, reason, result));
    }

    private void onClaimResult(String pool, String reason, Either<Failure, TxnResult> result) {
        claiming.remove(pool);
        if (result.isLeft()) {
            // If the claim was written after all, the watch shows it, and the next tick replaces it by a new claim.
            Logger.warn(
                    "event=claim-failed pool={} reason=\"{}\" error=\"{}\"",
                    pool,
                    reason,
                    result.getLeft().message());
            return;
        }
        TxnResult txn = result.get();
        if (!txn.applied()) {
            txn.current().forEach(view::onChanged);
            Logger.info("event=claim-lost pool={} reason=\"{}\"", pool, reason);
            return;
        }
        Logger.info("event=pool-claimed pool={} token={} reason=\"{}\"", pool, txn.revision(), reason);
        fencingTokens.put(pool, txn.revision());
        view.onChanged(new SharedStore.Item(
                StoreKeys.owner(pool), Records.encode(new Records.Owner(self.vmId(), self.boot())), txn.revision()));
        listener.onClaimed(pool, txn.revision());
    }
}
