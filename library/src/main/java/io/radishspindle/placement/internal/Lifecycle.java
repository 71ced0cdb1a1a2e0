package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent.JobRecovered;

/** Moves jobs and tasks between their phases. Not thread-safe. */
final class Lifecycle {
    private final Context context;
    private final Jobs jobs;
    private final Queues queues;
    private final Ledger ledger;
    private final Families families;
    private final Sizing sizing;
    private final AttemptStopper stopper;
    private final Timers timers;
    private final Pacer pacer = new Pacer();
    private final Explainer explainer;

    Lifecycle(Components components) {
        this.context = components.context;
        this.jobs = components.jobs;
        this.queues = components.queues;
        this.ledger = components.ledger;
        this.families = components.families;
        this.sizing = components.sizing;
        this.stopper = components.stopper;
        this.timers = components.timers;
        this.explainer = components.explainer;
    }

    void accept(JobSpec spec) {
        if (jobs.isKnown(spec.id())) {
            return;
        }
        JobState job = register(spec);
        for (int i = 0; i < spec.tasks(); i++) {
            enqueue(job, i);
        }
    }

    private JobState register(JobSpec spec) {
        JobState job = new JobState(spec, families.of(spec.family()), jobs.nextSequence(), context.nowMs);
        jobs.add(job);
        job.family.jobs.add(job);
        queues.countWaiting(job);
        return job;
    }

    void recover(JobRecovered event) {
        JobSpec spec = event.job();
        if (jobs.isKnown(spec.id())) {
            return;
        }
        JobState job = register(spec);
        job.totalFailures = event.failedAttempts();
        job.retriesUsed = event.failedAttempts();
        if (spec.tasks() == 1) {
            job.failures[0] = event.failedAttempts();
        }
        for (int i = 0; i < spec.tasks(); i++) {
            queues.move(job, i, event.completed().contains(i) ? TaskPhase.SUCCEEDED : TaskPhase.OPEN);
        }
        for (int i = 0; i < spec.tasks(); i++) {
            adoptOrphan(job, i);
        }
        if (!endIfFinished(job)) {
            resolveOpenTasksAt(job, event.openUntilMs());
        }
    }

    private void adoptOrphan(JobState job, int index) {
        Attempt orphan = ledger.orphan(job.task(index));
        if (orphan != null && job.phase(index) == TaskPhase.OPEN && !orphan.isStopping()) {
            ledger.release(orphan);
            adopt(job, orphan);
        }
    }

    /** Makes an attempt that a worker reported the live attempt of its task. */
    void adopt(JobState job, Attempt reported) {
        Attempt attempt = new Attempt(reported.id, job, reported.worker, reported.charged, reported.startedAtMs);
        ledger.charge(attempt);
        job.noteAttempt(reported.id.task().index(), reported.id.epoch(), reported.id.number());
        job.noteStart(reported.id.task().index(), context.nowMs);
        if (job.isEnding()) {
            stopper.stop(attempt, job.cancelled ? StopReason.CANCELLED : StopReason.JOB_ENDED);
        } else if (job.isGang() && hasWaiting(job)) {
            stopper.stopAll(job, StopReason.GANG_BROKEN);
        }
    }

    private static boolean hasWaiting(JobState job) {
        return job.count(TaskPhase.READY) + job.count(TaskPhase.DELAYED) > 0;
    }

    private void resolveOpenTasksAt(JobState job, long atMs) {
        if (atMs > context.nowMs) {
            timers.at(atMs, () -> resolveOpenTasks(job));
        } else {
            resolveOpenTasks(job);
        }
    }

    private void resolveOpenTasks(JobState job) {
        for (int i = 0; i < job.spec.tasks(); i++) {
            if (job.phase(i) == TaskPhase.OPEN) {
                resolveOpenTask(job, i);
            }
        }
        endIfFinished(job);
    }

    private void resolveOpenTask(JobState job, int index) {
        if (job.isEnding()) {
            queues.move(job, index, TaskPhase.CANCELLED);
        } else {
            enqueue(job, index);
        }
    }

    /** Puts a task in the queue at once; its demand is updated if no task of the job is queued. */
    void enqueue(JobState job, int index) {
        if (job.bucket == null) {
            job.demand = sizing.demandOf(job);
        }
        queues.move(job, index, TaskPhase.READY);
        if (job.isGang() && !job.live.isEmpty()) {
            stopper.stopAll(job, StopReason.GANG_BROKEN);
        }
    }

    /** Puts a task whose attempt has ended back in the queue, at {@code atMs} or at once. */
    void requeue(JobState job, int index, String reason, long atMs) {
        if (job.isEnding()) {
            queues.move(job, index, TaskPhase.CANCELLED);
            endIfFinished(job);
            return;
        }
        context.emit(new PlacementAction.TaskRequeued(job.task(index), reason));
        if (atMs <= context.nowMs) {
            enqueue(job, index);
            return;
        }
        queues.move(job, index, TaskPhase.DELAYED);
        if (job.isGang() && !job.live.isEmpty()) {
            stopper.stopAll(job, StopReason.GANG_BROKEN);
        }
        timers.at(atMs, () -> {
            if (job.phase(index) == TaskPhase.DELAYED) {
                enqueue(job, index);
            }
        });
    }

    /** Requeues a task after the loss of its worker, at a limited rate unless it is urgent. */
    void requeueAfterLoss(JobState job, int index, String reason) {
        boolean urgent = job.spec.jobClass() == JobClass.URGENT;
        requeue(job, index, reason, urgent || job.isEnding() ? context.nowMs : pacer.nextSlot(context.nowMs));
    }

    void finishTask(JobState job, int index, TaskPhase phase) {
        queues.move(job, index, phase);
        endIfFinished(job);
    }

    void cancel(String jobId) {
        JobState job = jobs.get(jobId);
        if (job == null || job.cancelled) {
            return;
        }
        job.cancelled = true;
        cancelWaiting(job);
        stopper.stopAll(job, StopReason.CANCELLED);
        endIfFinished(job);
    }

    /** Ends a job that can't succeed any more: none of its tasks starts again and running attempts are stopped. */
    void abandon(JobState job, JobStatus.Phase endPhase, String problem) {
        if (job.isEnding()) {
            return;
        }
        job.endPhase = endPhase;
        job.lastProblem = problem;
        cancelWaiting(job);
        stopper.stopAll(job, StopReason.JOB_ENDED);
        endIfFinished(job);
    }

    private void cancelWaiting(JobState job) {
        for (int i = 0; i < job.spec.tasks(); i++) {
            if (Queues.isWaiting(job.phase(i))) {
                queues.move(job, i, TaskPhase.CANCELLED);
            }
        }
    }

    /** Ends the job if all its tasks have ended. Returns whether it has ended. */
    boolean endIfFinished(JobState job) {
        if (!job.isFinished()) {
            return false;
        }
        if (jobs.get(job.spec.id()) != job) {
            return true;
        }
        queues.remove(job);
        job.family.jobs.remove(job);
        JobStatus status = explainer.finalStatus(job);
        jobs.end(job, status);
        context.emit(new PlacementAction.RecordJobEnd(job.spec.id(), status.phase(), status.explanation()));
        return true;
    }
}
