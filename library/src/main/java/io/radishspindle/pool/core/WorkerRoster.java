package io.radishspindle.pool.core;

import io.radishspindle.pool.model.WorkerEntry;

/**
 * The workers that have answered an owner of the pool, as recorded where every later owner reads them. Implementations
 * belong to one scheduler; not thread-safe.
 *
 * <p>Registrations can't be counted instead: they expire while the store is unavailable, and anybody may write one.
 */
public interface WorkerRoster {
    /** Records every worker; for a pool whose workers can't be missing from the store. */
    WorkerRoster ALL = new WorkerRoster() {
        @Override
        public boolean contains(String workerId) {
            return true;
        }

        @Override
        public boolean contains(String workerId, long bootWallMs) {
            return true;
        }

        @Override
        public boolean isBeingAdded(String workerId) {
            return false;
        }

        @Override
        public boolean mayStartOn(WorkerEntry worker) {
            return true;
        }

        @Override
        public boolean isComplete() {
            return true;
        }
    };

    /** Whether the worker is recorded. */
    boolean contains(String workerId);

    /** Whether this incarnation of the worker is recorded; it was under a claim that was in force then. */
    boolean contains(String workerId, long bootWallMs);

    /** Whether a write is in flight that records the worker, so that a later owner may read it or not. */
    boolean isBeingAdded(String workerId);

    /**
     * Whether every later owner will find this incarnation of the worker at this address, so that it will know what is
     * started there and how much fits there.
     */
    boolean mayStartOn(WorkerEntry worker);

    /**
     * Whether all workers on which earlier owners may have runs were recorded; releases before this one record none.
     */
    boolean isComplete();
}
