package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.placement.PlacementAction;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The only place where resources are charged and released. Not thread-safe.
 *
 * <p>Invariants, checked on each change: the charges of a worker do not exceed its capacity through a start; a task
 * has at most one live attempt; the running count equals the number of charged attempts that belong to a job.
 */
final class Ledger {
    private final Context context;
    private final WorkerTable workers;
    private final Queues queues;
    private final Map<TaskId, Attempt> orphans = new HashMap<>();
    private int running;
    private long freedVersion;

    Ledger(Context context, WorkerTable workers, Queues queues) {
        this.context = context;
        this.workers = workers;
        this.queues = queues;
    }

    int running() {
        return running;
    }

    /** Returns a number that increases whenever a worker gains free resources. */
    long freedVersion() {
        return freedVersion;
    }

    Attempt start(JobState job, int index, WorkerState worker) {
        if (!worker.isUsable() || !context.mayStart) {
            throw new IllegalStateException(
                    "start on worker " + worker.id + " without authority or on an unusable worker");
        }
        int number = job.nextAttemptNumber(index, context.epoch);
        TaskAttempt id = new TaskAttempt(job.task(index), context.epoch, number);
        Attempt attempt = new Attempt(id, job, worker, job.demand, context.nowMs);
        charge(attempt);
        worker.checkNotOvercommitted(id);
        job.noteStart(index, context.nowMs);
        context.emit(new PlacementAction.StartTask(id, worker.id, job.demand));
        return attempt;
    }

    void charge(Attempt attempt) {
        attempt.worker.charge(attempt);
        workers.reindex(attempt.worker);
        JobState job = attempt.job;
        if (job == null) {
            orphans.put(attempt.id.task(), attempt);
            return;
        }
        boolean wasWaiting = Queues.isWaiting(job.phase(attempt.id.task().index()));
        job.addLive(attempt);
        queues.onPhaseChange(job, wasWaiting, false);
        queues.charge(job, attempt.charged);
        running++;
    }

    /** Ends the charge of an attempt; the caller moves the task to its next phase at once. */
    void release(Attempt attempt) {
        attempt.worker.release(attempt);
        workers.reindex(attempt.worker);
        noteFreed(attempt.worker);
        JobState job = attempt.job;
        if (job == null) {
            orphans.remove(attempt.id.task(), attempt);
            return;
        }
        job.removeLive(attempt);
        queues.release(job, attempt.charged);
        running--;
    }

    /** Raises the charge of a running attempt; the caller has checked that the worker has enough free resources. */
    void raise(Attempt attempt, Resources to) {
        WorkerState worker = attempt.worker;
        Resources added = to.minus(attempt.charged);
        worker.free = worker.free.minus(added);
        worker.checkNotOvercommitted(attempt.id);
        if (attempt.isStopping()) {
            worker.stopping = worker.stopping.plus(added);
        }
        attempt.charged = to;
        workers.reindex(worker);
        if (attempt.job != null) {
            queues.charge(attempt.job, added);
        }
    }

    /** Must be called after every gain of free resources on a worker. */
    void noteFreed(WorkerState worker) {
        freedVersion++;
        queues.changed = true;
        if (worker.isUsable()) {
            queues.shapes.unblockFitting(worker.free);
        }
    }

    @Nullable
    Attempt orphan(TaskId task) {
        return orphans.get(task);
    }
}
