package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates which waiting steps will find free capacity soon, so that no advice is requested whose tickets would
 * expire unused. Steps are offered in rank order. Used for one scheduling pass; not thread-safe.
 *
 * <p>Invariant: a step reserves on each worker no more than fits there, and nothing if it is a gang that doesn't fit,
 * so that a long queue before a step doesn't hide capacity that the queue can't use.
 */
final class CapacityForecast {
    private final Placer placer;
    private final ApprovalRates approvals;
    private final long untilMs;
    /** Amounts reserved for steps that wait for tickets. */
    private final Map<WorkerRoom, Resources> reserved = new HashMap<>();

    /** @param untilMs time until which capacity may become free */
    CapacityForecast(Placer placer, ApprovalRates approvals, long untilMs) {
        this.placer = placer;
        this.approvals = approvals;
        this.untilMs = untilMs;
    }

    /** Returns whether tasks of the step are likely to fit after all steps that rank before it. */
    boolean expectsCapacity(StepState step) {
        double rate = approvals.rate(step.job.job.queue());
        double needed = step.spec.gang() ? step.tasks.size() : Double.MIN_VALUE;
        for (WorkerRoom room : placer.rooms()) {
            if (step.spec.reserved().fitsIn(free(step, room)) && isCandidate(step, room)) {
                boolean untried = step.job.job.advice() != null && !step.tickets.containsKey(room.worker.id());
                needed -= (untried ? rate : 1) * tasksThatFit(step, room, free(step, room));
                if (needed <= 0) {
                    return true;
                }
            }
        }
        return !step.spec.gang() && mayPreempt(step);
    }

    /** Reserves capacity for waiting tasks of a step, which steps that rank after it can't use. */
    void reserve(StepState step, int tasks) {
        int missing = tasks;
        for (WorkerRoom room : placer.rooms()) {
            if (missing <= 0) {
                return;
            }
            if (step.spec.reserved().fitsIn(free(step, room)) && isCandidate(step, room)) {
                int count = Math.min(missing, tasksThatFit(step, room, free(step, room)));
                if (count > 0) {
                    reserved.merge(room, step.spec.reserved().times(count), Resources::plus);
                    missing -= count;
                }
            }
        }
    }

    /** Returns whether a worker runs tasks of lower priority whose stop would let a task of the step fit. */
    private boolean mayPreempt(StepState step) {
        int priority = step.job.job.priority();
        for (WorkerRoom room : placer.rooms()) {
            if (!room.mayEvictFor(priority) || !isCandidate(step, room)) {
                continue;
            }
            Resources free = free(step, room);
            for (RunState run : room.worker.runs.values()) {
                TaskState task = run.task;
                if (task != null
                        && task.step.job.job.priority() > priority
                        && task.step.spec.checkpoint()
                        && !task.step.spec.gang()) {
                    free = free.plus(run.reserved);
                }
            }
            if (step.spec.reserved().fitsIn(free)) {
                return true;
            }
        }
        return false;
    }

    private boolean isCandidate(StepState step, WorkerRoom room) {
        return room.usable && placer.mayBeApproved(step, room.worker) && placer.mayRun(step, room.worker);
    }

    private Resources free(StepState step, WorkerRoom room) {
        Resources free = room.freeFor(step, untilMs);
        Resources taken = reserved.get(room);
        return taken == null ? free : free.minus(taken);
    }

    private static int tasksThatFit(StepState step, WorkerRoom room, Resources free) {
        int count = free.timesThatFit(step.spec.reserved(), step.tasks.size());
        int limit = step.spec.maxPerWorker();
        return limit == 0 ? count : (int) Math.min(count, Math.max(0, limit - step.tasksOn(room.worker.id())));
    }
}
