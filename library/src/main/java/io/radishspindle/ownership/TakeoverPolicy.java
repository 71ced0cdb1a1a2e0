package io.radishspindle.ownership;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Liveness;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Decides from membership whether this VM should try to own a group. Not thread-safe. It affects only how soon and
 * how often a group changes its owner; safety rests on the record in the store and on the workers.
 */
final class TakeoverPolicy {
    private final Effects fx;
    private final String dataCentre;
    private final String group;
    private long unreadySinceMs = Quorum.NEVER;
    private long unreadyEpoch;
    private long holdOffUntilMs = Quorum.NEVER;
    private long holdOffMs;

    TakeoverPolicy(Effects fx, String dataCentre, String group) {
        this.fx = fx;
        this.dataCentre = dataCentre;
        this.group = group;
    }

    long holdOffUntilMs() {
        return holdOffUntilMs;
    }

    /** VMs that don't see each other would otherwise take a group from one another several times a second. */
    void holdOff() {
        boolean repeated = fx.now() - holdOffUntilMs < OwnershipTiming.MAX_HOLD_OFF_MS;
        holdOffMs =
                repeated ? Math.min(2 * holdOffMs, OwnershipTiming.MAX_HOLD_OFF_MS) : OwnershipTiming.MIN_HOLD_OFF_MS;
        holdOffUntilMs = fx.now() + holdOffMs;
    }

    /** Whether this VM is the one to take the group over, as far as the view tells. */
    boolean isEligible(MembershipView now, @Nullable OwnershipRecord record) {
        Set<String> candidates = new TreeSet<>();
        now.liveEntryVms(dataCentre).forEach(vm -> candidates.add(vm.id()));
        if (!candidates.contains(fx.self())) {
            return false;
        }
        if (record != null && record.ownerVm().equals(fx.self())) {
            return true;
        }
        MembershipView.OwnedGroup announced = now.groupOwners().get(group);
        if (announced != null
                && candidates.contains(announced.ownerVm())
                && !announced.ownerVm().equals(fx.self())) {
            if (announced.summary().ready()) {
                unreadySinceMs = Quorum.NEVER;
                return false;
            }
            if (!unreadyForLong(announced.summary().epoch())) {
                return false;
            }
            candidates.remove(announced.ownerVm());
        }
        return Rendezvous.winner(group, candidates).equals(Optional.of(fx.self()));
    }

    private boolean unreadyForLong(long epoch) {
        if (unreadySinceMs == Quorum.NEVER || unreadyEpoch != epoch) {
            unreadySinceMs = fx.now();
            unreadyEpoch = epoch;
        }
        return fx.now() - unreadySinceMs > OwnershipTiming.UNREADY_TAKEOVER_MS;
    }

    /** Whether the owner by the record is gone, or has announced nothing for long. */
    boolean mayReplace(MembershipView now, @Nullable OwnershipRecord record) {
        if (record == null || record.ownerVm().isEmpty() || record.ownerVm().equals(fx.self())) {
            return true;
        }
        Optional<Liveness> liveness = now.entryVms().stream()
                .filter(vm -> vm.id().equals(record.ownerVm()))
                .map(MembershipView.EntryVm::liveness)
                .findFirst();
        if (liveness.equals(Optional.of(Liveness.LIVE)) || liveness.equals(Optional.of(Liveness.LEAVING))) {
            return unreadyForLong(record.epoch());
        }
        return true;
    }
}
