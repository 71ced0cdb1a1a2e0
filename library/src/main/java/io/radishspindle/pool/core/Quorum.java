package io.radishspindle.pool.core;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether enough workers answer the owner to rule out that another owner acts. Belongs to its scheduler; not
 * thread-safe.
 *
 * <p>Invariant: counts the workers of the roster, which each owner reads after its claim and changes only while its
 * claim is in force, so that the majorities of two owners have a worker in common, and that worker rejects the older
 * owner. A worker that has started anew has forgotten the token, so that it counts only once this incarnation is
 * recorded, for which the claim must be in force. While workers are being added or removed, a majority is needed both
 * with and without them, as the next owner may read either.
 */
final class Quorum {
    /** Time for which a recorded worker without a registration counts although it doesn't answer, in milliseconds. */
    private static final long REGISTRATION_RETURN_MS = 2_500;

    private final WorkerRoster roster;
    private long startedMs = Long.MIN_VALUE;
    /** When each worker without a registration was first seen without one. */
    private final Map<String, Long> unregisteredSinceMs = new HashMap<>();

    Quorum(WorkerRoster roster) {
        this.roster = roster;
    }

    /** A new owner starts: registrations that expired while the store was unavailable may still be missing. */
    void begin(long nowMs) {
        startedMs = nowMs;
    }

    boolean isReached(Collection<WorkerState> workers, long nowMs) {
        Count recorded = new Count();
        Count withAdded = new Count();
        Count withoutRemoved = new Count();
        for (WorkerState worker : workers) {
            boolean answers = worker.confirmsOwner(nowMs);
            if (!answers && mayBeGone(worker, nowMs)) {
                continue;
            }
            if (roster.contains(worker.id())) {
                boolean confirms = answers && roster.contains(worker.id(), worker.bootWallMs);
                recorded.add(confirms);
                withAdded.add(confirms);
                if (!roster.isBeingRemoved(worker.id())) {
                    withoutRemoved.add(confirms);
                }
            } else if (roster.isBeingAdded(worker.id())) {
                withAdded.add(answers);
            }
        }
        return recorded.isMajority() && withAdded.isMajority() && withoutRemoved.isMajority();
    }

    private boolean mayBeGone(WorkerState worker, long nowMs) {
        if (worker.listed) {
            unregisteredSinceMs.remove(worker.id());
            return worker.replaced;
        }
        long sinceMs = Math.max(startedMs, unregisteredSinceMs.computeIfAbsent(worker.id(), id -> nowMs));
        return worker.replaced || nowMs - sinceMs >= REGISTRATION_RETURN_MS;
    }

    /** Counts workers and those that answer; not thread-safe. */
    private static final class Count {
        private int workers;
        private int answering;

        void add(boolean answers) {
            workers++;
            answering += answers ? 1 : 0;
        }

        boolean isMajority() {
            return 2 * answering > workers;
        }
    }
}
