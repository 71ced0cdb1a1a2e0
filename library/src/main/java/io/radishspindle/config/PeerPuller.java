package io.radishspindle.config;

import io.radishspindle.config.ConfigAction.Pull;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Asks peers for a newer document when their heartbeats announce one. Deterministic; not thread-safe.
 *
 * <p>Documents cross data centres once: a VM that is not the relay first waits for a VM of its own data centre.
 */
final class PeerPuller {
    /** Time for the relay's push to arrive before a peer is asked. */
    private static final long PUSH_GRACE_MS = 300;
    /** Lag after which a VM that is not the relay asks another data centre. */
    private static final long REMOTE_GRACE_MS = 2_000;
    /** A pull without an answer is given up after this time. */
    private static final long PULL_TIMEOUT_MS = 2_000;

    private static final long NONE = 0;

    private final LongSupplier ids;
    private long pullId = NONE;
    private long pullSentAtMs;
    private long behindSinceMs = Long.MAX_VALUE;
    private int attempts;

    PeerPuller(LongSupplier ids) {
        this.ids = ids;
    }

    /** Highest revision that a peer announces. */
    static long announcedRevision(@Nullable MembershipView view) {
        return view == null
                ? -1
                : view.entryVms().stream()
                        .filter(vm -> vm.liveness() != Liveness.DEAD)
                        .mapToLong(EntryVm::configRevision)
                        .max()
                        .orElse(-1);
    }

    void onTick(
            long nowMs, @Nullable MembershipView view, long haveRevision, boolean relay, List<ConfigAction> actions) {
        if (pullId != NONE && nowMs - pullSentAtMs >= PULL_TIMEOUT_MS) {
            pullId = NONE;
            attempts++;
        }
        if (view == null || announcedRevision(view) <= haveRevision) {
            behindSinceMs = Long.MAX_VALUE;
            return;
        }
        if (behindSinceMs == Long.MAX_VALUE) {
            behindSinceMs = nowMs;
        }
        long behindMs = nowMs - behindSinceMs;
        if (pullId != NONE || behindMs < PUSH_GRACE_MS) {
            return;
        }
        List<EntryVm> candidates = candidates(view, haveRevision, relay || behindMs >= REMOTE_GRACE_MS);
        if (!candidates.isEmpty()) {
            EntryVm source = candidates.get(Math.floorMod(attempts, candidates.size()));
            pullId = ids.getAsLong();
            pullSentAtMs = nowMs;
            actions.add(new Pull(pullId, source.id(), haveRevision));
        }
    }

    private static List<EntryVm> candidates(MembershipView view, long haveRevision, boolean remoteToo) {
        String own = view.self().dataCentre();
        return view.entryVms().stream()
                .filter(vm -> vm.configRevision() > haveRevision && vm.liveness() != Liveness.DEAD)
                .filter(vm -> !vm.id().equals(view.self().id()))
                .filter(vm -> remoteToo || vm.dataCentre().equals(own))
                .sorted(Comparator.comparing((EntryVm vm) -> vm.liveness() == Liveness.SUSPECT)
                        .thenComparing(vm -> !vm.dataCentre().equals(own))
                        .thenComparing(EntryVm::configRevision, Comparator.reverseOrder())
                        .thenComparing(EntryVm::id))
                .toList();
    }

    void onAnswer(long id, boolean succeeded) {
        if (id == pullId) {
            pullId = NONE;
            attempts = succeeded ? 0 : attempts + 1;
        }
    }
}
