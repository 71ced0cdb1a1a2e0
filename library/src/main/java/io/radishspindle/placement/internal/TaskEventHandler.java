package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent.StartRefused;
import io.radishspindle.placement.PlacementEvent.TaskEnded;
import io.radishspindle.placement.PlacementEvent.UsageReported;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Handles reports of workers about attempts. Not thread-safe. */
final class TaskEventHandler {
    /** Ended attempts that are kept to deduplicate repeated reports. */
    private static final int MAX_ENDED_ATTEMPTS = 8_192;

    private final Context context;
    private final Jobs jobs;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Lifecycle lifecycle;
    private final Quarantine quarantine;
    private final FailurePolicy failures;
    private final OveruseHandler overuseHandler;
    private final Map<TaskAttempt, Boolean> endedAttempts = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TaskAttempt, Boolean> eldest) {
            return size() > MAX_ENDED_ATTEMPTS;
        }
    };

    TaskEventHandler(Components components) {
        this.context = components.context;
        this.jobs = components.jobs;
        this.workers = components.workers;
        this.ledger = components.ledger;
        this.lifecycle = components.lifecycle;
        this.quarantine = components.quarantine;
        this.failures = new FailurePolicy(components);
        this.overuseHandler = new OveruseHandler(components);
    }

    void onTaskEnded(TaskEnded event) {
        if (endedAttempts.containsKey(event.attempt())) {
            return;
        }
        Attempt attempt = chargedAttempt(event.attempt(), event.workerId());
        if (attempt == null) {
            onUnchargedEnd(event);
            return;
        }
        endedAttempts.put(event.attempt(), true);
        ledger.release(attempt);
        JobState job = attempt.job;
        if (job == null) {
            record(event, event.outcome() == TaskOutcome.SUCCEEDED);
            return;
        }
        job.family.notePeak(attempt.peak);
        onLiveEnd(event, attempt, job);
    }

    private void onLiveEnd(TaskEnded event, Attempt attempt, JobState job) {
        int index = event.attempt().task().index();
        boolean service = job.spec.jobClass() == JobClass.SERVICE;
        if (event.outcome() == TaskOutcome.SUCCEEDED && !service) {
            quarantine.noteSuccess(attempt.worker);
            job.family.noteSuccess(context.nowMs - attempt.startedAtMs);
            record(event, true);
            lifecycle.finishTask(job, index, TaskPhase.SUCCEEDED);
        } else if (job.isEnding()) {
            record(event, true);
            lifecycle.finishTask(job, index, TaskPhase.CANCELLED);
        } else if (event.outcome() == TaskOutcome.FAILED && !attempt.isStopping()) {
            quarantine.noteFailure(attempt.worker, job, index);
            record(event, failures.onFailure(job, index, attempt, event.detail()));
        } else {
            record(event, false);
            requeueStopped(event, attempt, job, index);
        }
    }

    private void requeueStopped(TaskEnded event, Attempt attempt, JobState job, int index) {
        StopReason reason = attempt.stopReason;
        if (reason != null) {
            lifecycle.requeue(job, index, reason.text(), context.nowMs);
        } else if (event.outcome() == TaskOutcome.LEASE_EXPIRED) {
            lifecycle.requeueAfterLoss(job, index, "its lease expired on worker " + event.workerId());
        } else if (event.outcome() == TaskOutcome.SUCCEEDED) {
            failures.onServiceExit(job, index, attempt);
        } else {
            lifecycle.requeue(job, index, "stopped by worker " + event.workerId(), context.nowMs);
        }
    }

    /** Handles the end of an attempt that is not charged, for example one of an earlier owner or of a lost worker. */
    private void onUnchargedEnd(TaskEnded event) {
        int index = event.attempt().task().index();
        JobState job = jobs.get(event.attempt().task().jobId());
        if (event.attempt().epoch() > context.epoch) {
            return;
        }
        if (job == null || !job.hasTask(index)) {
            endedAttempts.put(event.attempt(), true);
            record(event, event.outcome() == TaskOutcome.SUCCEEDED);
            return;
        }
        Attempt live = job.live.get(index);
        if (live != null && live.id.equals(event.attempt())) {
            return;
        }
        endedAttempts.put(event.attempt(), true);
        boolean completes = event.outcome() == TaskOutcome.SUCCEEDED
                && job.spec.jobClass() != JobClass.SERVICE
                && live == null
                && !job.phase(index).isFinal();
        record(event, completes || job.phase(index).isFinal());
        if (completes) {
            lifecycle.finishTask(job, index, TaskPhase.SUCCEEDED);
        }
    }

    private void record(TaskEnded event, boolean completed) {
        context.emit(new PlacementAction.RecordAttempt(event.attempt(), event.workerId(), event.outcome(), completed));
    }

    void onStartRefused(StartRefused event) {
        Attempt attempt = chargedAttempt(event.attempt(), event.workerId());
        if (attempt == null) {
            return;
        }
        ledger.release(attempt);
        endedAttempts.put(event.attempt(), true);
        JobState job = attempt.job;
        if (job != null) {
            lifecycle.requeue(
                    job,
                    event.attempt().task().index(),
                    "start refused: " + event.reason(),
                    failures.retryRefusedAtMs());
        }
    }

    void onUsageReported(UsageReported event) {
        JobState job = jobs.get(event.attempt().task().jobId());
        Attempt attempt =
                job == null ? null : job.live.get(event.attempt().task().index());
        if (attempt != null && attempt.id.equals(event.attempt())) {
            Resources used = event.used();
            attempt.peak = Family.max(attempt.peak, used);
            overuseHandler.onUsage(attempt, used);
        }
    }

    private @Nullable Attempt chargedAttempt(TaskAttempt id, String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker == null ? null : worker.attempts.get(id);
    }
}
