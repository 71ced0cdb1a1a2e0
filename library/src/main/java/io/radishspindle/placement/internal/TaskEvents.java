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

/** Handles what workers report about attempts. Not thread-safe. */
final class TaskEvents {
    /** Ended attempts that are remembered, so that a repeated report is recognised. */
    private static final int MAX_REMEMBERED = 8_192;

    private final Context context;
    private final Jobs jobs;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Lifecycle lifecycle;
    private final Quarantine quarantine;
    private final FailurePolicy failures;
    private final Overuse overuse;
    private final Map<TaskAttempt, Boolean> ended = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TaskAttempt, Boolean> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    TaskEvents(Parts parts) {
        this.context = parts.context;
        this.jobs = parts.jobs;
        this.workers = parts.workers;
        this.ledger = parts.ledger;
        this.lifecycle = parts.lifecycle;
        this.quarantine = parts.quarantine;
        this.failures = new FailurePolicy(parts);
        this.overuse = new Overuse(parts);
    }

    void ended(TaskEnded event) {
        if (ended.containsKey(event.attempt())) {
            return;
        }
        Attempt attempt = charged(event.attempt(), event.workerId());
        if (attempt == null) {
            lateEnd(event);
            return;
        }
        ended.put(event.attempt(), true);
        ledger.release(attempt);
        JobState job = attempt.job;
        if (job == null) {
            record(event, event.outcome() == TaskOutcome.SUCCEEDED);
            return;
        }
        job.family.notePeak(attempt.peak);
        endLive(event, attempt, job);
    }

    private void endLive(TaskEnded event, Attempt attempt, JobState job) {
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
            record(event, failures.failed(job, index, attempt, event.detail()));
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
            failures.serviceExited(job, index, attempt);
        } else {
            lifecycle.requeue(job, index, "stopped by worker " + event.workerId(), context.nowMs);
        }
    }

    /** An attempt ended that is not charged, for example one of an earlier owner or of a worker given up as lost. */
    private void lateEnd(TaskEnded event) {
        int index = event.attempt().task().index();
        JobState job = jobs.get(event.attempt().task().jobId());
        if (event.attempt().epoch() > context.epoch) {
            return;
        }
        if (job == null || !job.hasTask(index)) {
            ended.put(event.attempt(), true);
            record(event, event.outcome() == TaskOutcome.SUCCEEDED);
            return;
        }
        Attempt live = job.live.get(index);
        if (live != null && live.id.equals(event.attempt())) {
            return;
        }
        ended.put(event.attempt(), true);
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

    void refused(StartRefused event) {
        Attempt attempt = charged(event.attempt(), event.workerId());
        if (attempt == null) {
            return;
        }
        ledger.release(attempt);
        ended.put(event.attempt(), true);
        JobState job = attempt.job;
        if (job != null) {
            lifecycle.requeue(
                    job, event.attempt().task().index(), "start refused: " + event.reason(), failures.refusedUntil());
        }
    }

    void usage(UsageReported event) {
        JobState job = jobs.get(event.attempt().task().jobId());
        Attempt attempt =
                job == null ? null : job.live.get(event.attempt().task().index());
        if (attempt != null && attempt.id.equals(event.attempt())) {
            Resources used = event.used();
            attempt.peak = Family.max(attempt.peak, used);
            overuse.note(attempt, used);
        }
    }

    private @Nullable Attempt charged(TaskAttempt id, String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker == null ? null : worker.attempts.get(id);
    }
}
