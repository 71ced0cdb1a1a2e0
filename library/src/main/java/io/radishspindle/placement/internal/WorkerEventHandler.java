package io.radishspindle.placement.internal;

import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent.RunningTask;
import io.radishspindle.placement.PlacementEvent.WorkerClaimed;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Handles claims, losses and draining of workers. Not thread-safe. */
final class WorkerEventHandler {
    /** How long a lost worker still counts as part of the group, in case it returns. */
    private static final long FORGET_LOST_AFTER_MS = 600_000;

    private final Context context;
    private final Jobs jobs;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Lifecycle lifecycle;
    private final AttemptStopper stopper;
    private final Timers timers;

    WorkerEventHandler(Components components) {
        this.context = components.context;
        this.jobs = components.jobs;
        this.workers = components.workers;
        this.ledger = components.ledger;
        this.lifecycle = components.lifecycle;
        this.stopper = components.stopper;
        this.timers = components.timers;
    }

    void onWorkerClaimed(WorkerClaimed event) {
        WorkerState worker = register(event.worker());
        Set<TaskAttempt> reported = new HashSet<>();
        event.running().forEach(r -> reported.add(r.attempt()));
        for (Attempt known : new ArrayList<>(worker.attempts.values())) {
            if (!reported.contains(known.id)) {
                releaseVanished(known);
            }
        }
        for (RunningTask running : event.running()) {
            if (!worker.attempts.containsKey(running.attempt())) {
                chargeReported(worker, running);
            }
        }
        ledger.noteFreed(worker);
    }

    private WorkerState register(WorkerInfo info) {
        WorkerState worker = workers.get(info.id());
        if (worker == null) {
            worker = new WorkerState(info);
            workers.add(worker);
            return worker;
        }
        workers.unindex(worker);
        worker.free = worker.free.plus(info.capacity().minus(worker.info.capacity()));
        worker.info = info;
        worker.condition = WorkerState.Condition.USABLE;
        workers.reindex(worker);
        return worker;
    }

    /** Requeues the task of an attempt that the worker no longer runs and whose end was not reported. */
    private void releaseVanished(Attempt attempt) {
        ledger.release(attempt);
        JobState job = attempt.job;
        if (job != null) {
            String reason = "not running any more on worker " + attempt.worker.id;
            lifecycle.requeue(job, attempt.id.task().index(), reason, context.nowMs);
        }
    }

    private void chargeReported(WorkerState worker, RunningTask running) {
        TaskAttempt id = running.attempt();
        Attempt attempt = new Attempt(id, null, worker, running.reserved(), context.nowMs);
        JobState job = jobs.get(id.task().jobId());
        int index = id.task().index();
        if (job != null && job.hasTask(index) && canAdopt(job, index)) {
            lifecycle.adopt(job, attempt);
            return;
        }
        ledger.charge(attempt);
        if (job != null || jobs.isKnown(id.task().jobId())) {
            stopper.stop(attempt, StopReason.DUPLICATE);
        }
    }

    private static boolean canAdopt(JobState job, int index) {
        TaskPhase phase = job.phase(index);
        return !phase.isFinal() && phase != TaskPhase.LIVE;
    }

    void onWorkerUnreachable(String workerId) {
        changeCondition(workerId, WorkerState.Condition.UNREACHABLE);
    }

    void onWorkerLeaving(String workerId) {
        changeCondition(workerId, WorkerState.Condition.LEAVING);
    }

    private void changeCondition(String workerId, WorkerState.Condition to) {
        WorkerState worker = workers.get(workerId);
        if (worker != null && worker.condition != WorkerState.Condition.LOST) {
            worker.condition = to;
            workers.reindex(worker);
        }
    }

    void onWorkerLost(String workerId) {
        WorkerState worker = workers.get(workerId);
        if (worker == null || worker.condition == WorkerState.Condition.LOST) {
            return;
        }
        worker.condition = WorkerState.Condition.LOST;
        worker.lostAtMs = context.nowMs;
        workers.reindex(worker);
        for (Attempt attempt : new ArrayList<>(worker.attempts.values())) {
            loseAttempt(attempt);
        }
        timers.at(context.nowMs + FORGET_LOST_AFTER_MS, () -> forget(worker));
    }

    private void loseAttempt(Attempt attempt) {
        ledger.release(attempt);
        JobState job = attempt.job;
        if (job == null) {
            return;
        }
        context.emit(new PlacementAction.RecordAttempt(
                attempt.id, attempt.worker.id, TaskOutcome.LEASE_EXPIRED, job.isEnding()));
        String reason = "worker " + attempt.worker.id + " was lost";
        lifecycle.requeueAfterLoss(job, attempt.id.task().index(), reason);
    }

    private void forget(@Nullable WorkerState worker) {
        if (worker != null
                && worker.condition == WorkerState.Condition.LOST
                && worker.lostAtMs + FORGET_LOST_AFTER_MS <= context.nowMs
                && workers.get(worker.id) == worker) {
            workers.forget(worker);
        }
    }
}
