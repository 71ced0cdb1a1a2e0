package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;

/**
 * Finds room that a step could use without a stop, if it only had a ticket: on workers that the advice service was not
 * queried about, and on approved workers whose ticket is missing or has expired. Used for one pass; not thread-safe.
 */
final class UntriedRoom {
    private final Placer placer;
    private final long untilMs;

    /** @param untilMs time until which capacity may become free */
    UntriedRoom(Placer placer, long untilMs) {
        this.placer = placer;
        this.untilMs = untilMs;
    }

    /** Returns whether a worker without a valid ticket has room for a task of the step. */
    boolean existsFor(StepState step) {
        if (step.job.job.advice() == null) {
            return false;
        }
        Resources need = step.spec.reserved();
        for (WorkerRoom room : placer.rooms()) {
            if (need.fitsIn(room.freeFor(step, untilMs))
                    && !placer.hasTicket(step, room.worker)
                    && isCandidate(step, room)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether all members of a gang fit without a stop if every worker that may be approved is approved. */
    boolean mayHoldGang(StepState step) {
        int missing = step.tasks.size();
        for (WorkerRoom room : placer.rooms()) {
            if (isCandidate(step, room)) {
                missing -= members(step, room.freeAt(untilMs));
                if (missing <= 0) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean isCandidate(StepState step, WorkerRoom room) {
        return room.usable && placer.mayRun(step, room.worker) && placer.mayBeApproved(step, room.worker);
    }

    private static int members(StepState step, Resources free) {
        Resources need = step.spec.reserved();
        int limit = step.spec.maxPerWorker() > 0 ? step.spec.maxPerWorker() : step.tasks.size();
        int count = 0;
        while (count < limit && need.times(count + 1).fitsIn(free)) {
            count++;
        }
        return count;
    }
}
