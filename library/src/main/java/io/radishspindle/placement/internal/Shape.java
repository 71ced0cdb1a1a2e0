package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;

/**
 * Resource demand per task, shared by all buckets of waiting tasks with that demand, with the results of earlier
 * searches for a worker. Not thread-safe.
 */
final class Shape {
    final Resources demand;
    /** The demand fits on no usable worker, even without earmarks and reservations. */
    boolean blocked;

    private long pass;
    private long shortestFailedMs;
    private long fitsInPass;
    int users;

    Shape(Resources demand) {
        this.demand = demand;
    }

    /** Records that the demand fits on some worker, though a reservation or similar excludes it in this pass. */
    void noteFits(long inPass) {
        fitsInPass = inPass;
    }

    boolean isKnownToFit(long inPass) {
        return fitsInPass == inPass;
    }

    /** Records that a job with this run time found no worker in the given pass. */
    void noteFailed(long inPass, long runMs) {
        shortestFailedMs = pass == inPass ? Math.min(shortestFailedMs, runMs) : runMs;
        pass = inPass;
    }

    /** Whether a job that runs no longer than this one found no worker in the given pass. */
    boolean hasFailed(long inPass, long runMs) {
        return pass == inPass && runMs >= shortestFailedMs;
    }
}
