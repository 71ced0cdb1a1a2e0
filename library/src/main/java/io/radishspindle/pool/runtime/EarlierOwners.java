package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolTiming;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.Records.Claim;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.PoolPing;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Finds out when the earlier owners of a pool ended, whose leases may be in force at silent workers. Each claim leaves
 * a record, and the VMs of these records are asked. Confined to one event loop.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The records of all owners that may have leases are known, or no end is reported: each record but the oldest
 *       names the claim that it replaced, and the oldest is of an owner that has completed its recovery, by the end of
 *       which no leases of still earlier owners were left. An owner removes the records of earlier ones only then.
 *   <li>A VM that denies its ownership, and that has no claim in flight, grants no lease as an earlier owner any more:
 *       its process is a new one, or has closed that owner, which sends no order afterwards.
 * </ul>
 *
 * <p>A claim over an absent one names none. Between two such claims the claim of a release without records would be
 * overlooked, during an upgrade.
 */
final class EarlierOwners {
    private static final long PING_INTERVAL_MS = 200;
    private static final long PING_TIMEOUT_MS = 2_000;
    /** Besides the claim and the record of this owner. */
    private static final int MAX_REMOVED = SharedStore.MAX_TXN_ENTRIES - 2;

    private record Earlier(String key, long token, Claim claim) {}

    private final Clock clock;
    private final SharedStore store;
    private final PeerMessenger messenger;
    private final NodeIdentity self;
    private final String pool;
    private final long fencingToken;
    /** When all earlier owners on this VM had ended, in this process or in earlier ones. */
    private final long ownEndMs;

    private final List<String> recordKeys = new ArrayList<>();
    /** VMs that have to be asked; empty if the records are incomplete. */
    private final Set<String> vms = new HashSet<>();
    /** When the owners on the VMs that were asked ended. */
    private final Map<String, Long> endedMs = new HashMap<>();

    private boolean known;
    private boolean reported;
    private boolean recorded;
    private boolean writing;
    private long nextPingMs = Long.MIN_VALUE;

    EarlierOwners(
            Clock clock,
            SharedStore store,
            PeerMessenger messenger,
            NodeIdentity self,
            String pool,
            long fencingToken,
            long ownEndMs) {
        this.clock = clock;
        this.store = store;
        this.messenger = messenger;
        this.self = self;
        this.pool = pool;
        this.fencingToken = fencingToken;
        this.ownEndMs = ownEndMs;
    }

    /** Loads the records of claims, which were read after the claim of this VM. */
    void load(List<Item> items) {
        recordKeys.clear();
        vms.clear();
        List<Earlier> claims = new ArrayList<>();
        boolean readable = true;
        for (Item item : items) {
            Optional<Earlier> claim = decode(item);
            readable &= claim.isPresent();
            claim.ifPresent(claims::add);
            recordKeys.add(item.key());
        }
        claims.sort(Comparator.comparingLong(Earlier::token));
        known = readable && isComplete(claims);
        if (known) {
            claims.stream()
                    .map(earlier -> earlier.claim().vmId())
                    .filter(vm -> !vm.equals(self.vmId()))
                    .forEach(vms::add);
        }
    }

    private static Optional<Earlier> decode(Item item) {
        byte[] value = item.value();
        return value == null
                ? Optional.empty()
                : Records.decode(item.key(), value, Claim.class)
                        .map(claim -> new Earlier(
                                item.key(),
                                claim.recoveredToken() > 0 ? claim.recoveredToken() : item.revision(),
                                claim))
                        .toJavaOptional();
    }

    private boolean isComplete(List<Earlier> claims) {
        if (claims.size() < 2
                || claims.get(0).claim().recoveredToken() == 0
                || claims.get(claims.size() - 1).token() != fencingToken) {
            return false;
        }
        for (int i = 1; i < claims.size(); i++) {
            long replaced = claims.get(i).claim().replaced();
            if (replaced != 0 && replaced != claims.get(i - 1).token()) {
                return false;
            }
        }
        return true;
    }

    /**
     * Asks the VMs that have not answered; called several times a second.
     *
     * @return once, a time at which all earlier owners had ended
     */
    OptionalLong check() {
        if (!known || reported) {
            return OptionalLong.empty();
        }
        if (endedMs.keySet().containsAll(vms)) {
            reported = true;
            long latestMs = endedMs.values().stream().mapToLong(Long::longValue).reduce(ownEndMs, Math::max);
            Logger.info(
                    "event=earlier-owners-ended pool={} token={} vms={} ended_ms_ago={}",
                    pool,
                    fencingToken,
                    vms,
                    clock.nowMs() - latestMs);
            return OptionalLong.of(latestMs);
        }
        if (clock.nowMs() >= nextPingMs) {
            nextPingMs = clock.nowMs() + PING_INTERVAL_MS;
            vms.stream().filter(vm -> !endedMs.containsKey(vm)).forEach(this::ask);
        }
        return OptionalLong.empty();
    }

    private void ask(String vm) {
        messenger
                .request(vm, new PoolPing(pool), PoolPong.class, PING_TIMEOUT_MS)
                .onSuccess(reply -> reply.toJavaOptional()
                        .filter(pong -> !pong.owner())
                        .ifPresent(pong -> endedMs.putIfAbsent(vm, endOf(pong))));
    }

    /** The clock of the other VM may be faster, by which it would tell too long a time. */
    private long endOf(PoolPong pong) {
        return clock.nowMs() - (long) (pong.notOwnerForMs() * PoolTiming.MIN_CLOCK_RATE);
    }

    /** The recovery is complete, so that no leases of earlier owners are left; called until it is recorded. */
    void recordRecovery() {
        if (recorded || writing) {
            return;
        }
        writing = true;
        String own = StoreKeys.claim(pool, self.vmId(), self.boot());
        List<String> removed = recordKeys.stream()
                .filter(key -> !key.equals(own))
                .limit(MAX_REMOVED)
                .toList();
        Claim claim = new Claim(self.vmId(), 0, fencingToken);
        store.transact(new Txn(
                        Map.of(StoreKeys.owner(pool), fencingToken),
                        List.of(new Write(own, Records.encode(claim), 0)),
                        removed))
                .onSuccess(this::onRecorded);
    }

    private void onRecorded(Either<Failure, TxnResult> result) {
        writing = false;
        // After a conflict there is a newer owner, which has read the records as they were.
        recorded = result.isRight();
    }
}
