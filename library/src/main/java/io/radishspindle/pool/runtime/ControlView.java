package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.Records.Member;
import io.radishspindle.pool.runtime.Records.Owner;
import io.radishspindle.pool.runtime.Records.Slices;
import io.radishspindle.protocol.PeerDirectory;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * This VM's view of the other VMs and of the owners and slice counts of pools, kept up to date by a watch of the shared
 * store. Confined to one event loop.
 *
 * <p>Invariants: the address of a VM stays known after its entry was removed, so that VMs still reach each other while
 * the store is unavailable; slice counts and slices of queues that were read stay known.
 */
final class ControlView implements PrefixWatch.Listener, PeerDirectory {
    /** An owner with the revision of its claim, which is its fencing token. */
    record Ownership(Owner owner, long revision) {}

    private final Clock clock;
    /** VMs whose entries are present. */
    private final Map<String, Member> live = new HashMap<>();

    private final Map<String, Member> active = new HashMap<>();
    /** Last entry of every VM that was ever present. */
    private final Map<String, Member> known = new HashMap<>();

    private final Map<String, Ownership> owners = new HashMap<>();
    private final Map<String, Long> ownerlessSinceMs = new HashMap<>();
    private final Map<String, Integer> sliceCounts = new TreeMap<>();
    /** Slices that have got jobs of a queue, by the hash of the queue's address. */
    private final Map<String, Set<String>> queueSlices = new HashMap<>();

    private long version;
    private boolean listed;

    ControlView(Clock clock) {
        this.clock = clock;
    }

    @Override
    public void onListed(List<Item> items) {
        version++;
        listed = true;
        Set<String> keys = new HashSet<>();
        items.forEach(item -> keys.add(item.key()));
        live.keySet().removeIf(vm -> !keys.contains(StoreKeys.member(vm)));
        active.keySet().retainAll(live.keySet());
        List.copyOf(owners.keySet()).stream()
                .filter(pool -> !keys.contains(StoreKeys.owner(pool)))
                .forEach(this::onOwnerRemoved);
        items.forEach(this::onChanged);
    }

    @Override
    public void onChanged(Item item) {
        version++;
        byte[] value = item.value();
        if (StoreKeys.isMember(item.key())) {
            String vm = StoreKeys.memberId(item.key());
            if (value == null) {
                live.remove(vm);
                active.remove(vm);
            } else {
                Records.decode(item.key(), value, Member.class).onSuccess(member -> {
                    live.put(vm, member);
                    known.put(vm, member);
                    if (member.draining()) {
                        active.remove(vm);
                    } else {
                        active.put(vm, member);
                    }
                });
            }
        } else if (StoreKeys.isOwner(item.key())) {
            String pool = StoreKeys.ownedPool(item.key());
            if (value == null) {
                onOwnerRemoved(pool);
            } else {
                Records.decode(item.key(), value, Owner.class).onSuccess(owner -> {
                    owners.put(pool, new Ownership(owner, item.revision()));
                    ownerlessSinceMs.remove(pool);
                });
            }
        } else if (StoreKeys.isSlices(item.key()) && value != null) {
            Records.decode(item.key(), value, Slices.class)
                    .onSuccess(slices -> sliceCounts.put(StoreKeys.slicedPool(item.key()), slices.count()));
        } else if (StoreKeys.isQueueSlice(item.key()) && value != null) {
            queueSlices
                    .computeIfAbsent(StoreKeys.queueHashOf(item.key()), ignored -> new TreeSet<>())
                    .add(StoreKeys.sliceOfQueue(item.key()));
        }
    }

    private void onOwnerRemoved(String pool) {
        owners.remove(pool);
        ownerlessSinceMs.put(pool, clock.nowMs());
    }

    /** Incremented with every change, so that values derived from the view can be cached. */
    long version() {
        return version;
    }

    /** Number of slices of a pool; empty while it is undecided or has not been read. */
    Optional<Integer> sliceCount(String pool) {
        return Optional.ofNullable(sliceCounts.get(pool));
    }

    /** All pools whose number of slices is known, also those that the configuration no longer has. */
    Set<String> sizedPools() {
        return Collections.unmodifiableSet(sliceCounts.keySet());
    }

    /** Slices that have got jobs of a queue in any version of the configuration. */
    Set<String> slicesOfQueue(String address) {
        return Collections.unmodifiableSet(queueSlices.getOrDefault(StoreKeys.queueHash(address), Set.of()));
    }

    /** VMs whose entries are present and that are not draining. */
    Map<String, Member> active() {
        return active;
    }

    /** Whether the entries have been listed once. */
    boolean isListed() {
        return listed;
    }

    Optional<Ownership> owner(String pool) {
        return Optional.ofNullable(owners.get(pool));
    }

    /** Fencing token of the claim on a pool; 0 if there is none. */
    long claim(String pool) {
        Ownership ownership = owners.get(pool);
        return ownership == null ? 0 : ownership.revision();
    }

    Map<String, Ownership> owners() {
        return owners;
    }

    /** How long a pool has been without an owner, in milliseconds. */
    long ownerlessMs(String pool, long nowMs) {
        return nowMs - ownerlessSinceMs.computeIfAbsent(pool, ignored -> nowMs);
    }

    @Override
    public Optional<PeerAddress> addressOf(String vmId) {
        return Optional.ofNullable(known.get(vmId)).map(member -> new PeerAddress(member.host(), member.port()));
    }
}
