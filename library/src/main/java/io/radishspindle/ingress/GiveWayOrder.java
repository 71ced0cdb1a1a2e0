package io.radishspindle.ingress;

import io.radishspindle.ingress.MemoryBudget.Occupant;
import org.jspecify.annotations.Nullable;

/**
 * Which occupant gives way first: one whose request has stalled, before all others; among equals the one whose last
 * progress is oldest. Stateless and thread-safe.
 */
enum GiveWayOrder {
    /** For memory: those with an unfinished request come before idle ones, which occupy little. */
    MEMORY {
        @Override
        int rankWithoutStall(Occupant occupant) {
            return occupant.isUnfinished() ? 1 : 2;
        }
    },
    /** For connections: idle ones are as good as others, so that many of them don't displace a request that arrives. */
    CONNECTIONS {
        @Override
        int rankWithoutStall(Occupant occupant) {
            return 1;
        }
    };

    /** Time without progress after which an unfinished request counts as stalled. */
    private static final long STALLED_AFTER_MS = 1_000;

    /** Rank of an occupant that has not stalled; above 0, lower ones give way first. */
    abstract int rankWithoutStall(Occupant occupant);

    /** The candidate that gives way first; null if all of them are being served. */
    @Nullable
    Occupant first(Iterable<? extends Occupant> candidates, long nowMs) {
        Occupant first = null;
        int firstRank = Integer.MAX_VALUE;
        for (Occupant candidate : candidates) {
            if (!candidate.canGiveWay()) {
                continue;
            }
            int rank = hasStalled(candidate, nowMs) ? 0 : rankWithoutStall(candidate);
            boolean before = rank < firstRank
                    || (rank == firstRank && first != null && candidate.progressAtMs() < first.progressAtMs());
            if (before) {
                first = candidate;
                firstRank = rank;
            }
        }
        return first;
    }

    private static boolean hasStalled(Occupant occupant, long nowMs) {
        return occupant.isUnfinished() && nowMs - occupant.progressAtMs() > STALLED_AFTER_MS;
    }
}
