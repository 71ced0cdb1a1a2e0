package io.radishspindle.pool.core;

import java.util.Collection;

/**
 * Decides whether enough workers answer the owner to rule out that another owner acts. Belongs to its scheduler; not
 * thread-safe.
 *
 * <p>Invariant: counts the workers of the roster, which each owner reads after its claim and changes only while its
 * claim is in force, so that the majorities of two owners have a worker in common, and that worker rejects the older
 * owner. A worker that has started anew has forgotten the token, so that it counts only once this incarnation is
 * recorded, for which the claim must be in force. While workers are being added, a majority is needed both with and without them, as the next owner may read
 * either.
 */
final class Quorum {
    /** Time after a takeover for which a recorded worker without a registration counts although it doesn't answer. */
    private static final long REGISTRATION_RETURN_MS = 2_500;

    private final WorkerRoster roster;
    private long unregisteredCountUntilMs = Long.MIN_VALUE;

    Quorum(WorkerRoster roster) {
        this.roster = roster;
    }

    /** A new owner starts: registrations that expired while the store was unavailable may still be missing. */
    void begin(long nowMs) {
        unregisteredCountUntilMs = nowMs + REGISTRATION_RETURN_MS;
    }

    boolean isReached(Collection<WorkerState> workers, long nowMs) {
        Count recorded = new Count();
        Count withAdded = new Count();
        for (WorkerState worker : workers) {
            boolean answers = worker.confirmsOwner(nowMs);
            if (!answers && mayBeGone(worker, nowMs)) {
                continue;
            }
            if (roster.contains(worker.id())) {
                boolean confirms = answers && roster.contains(worker.id(), worker.bootWallMs);
                recorded.add(confirms);
                withAdded.add(confirms);
            } else if (roster.isBeingAdded(worker.id())) {
                withAdded.add(answers);
            }
        }
        return recorded.isMajority() && withAdded.isMajority();
    }

    private boolean mayBeGone(WorkerState worker, long nowMs) {
        return worker.replaced || (!worker.listed && nowMs >= unregisteredCountUntilMs);
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
