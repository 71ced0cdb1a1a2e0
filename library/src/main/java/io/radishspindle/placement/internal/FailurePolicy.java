package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobStatus;
import java.util.ArrayList;

/**
 * Decides what follows a failed attempt: retry after a back-off, failure of the task, or failure of the job. Not
 * thread-safe.
 */
final class FailurePolicy {
    private static final long FIRST_BACK_OFF_MS = 1_000;
    private static final long FIRST_URGENT_BACK_OFF_MS = 100;
    private static final long MAX_BACK_OFF_MS = 300_000;
    /** A replica that ran this long is considered healthy again. */
    private static final long STABLE_MS = 60_000;
    /** A worker refuses a start when its state differs from the core's; the retry waits for its next report. */
    private static final long REFUSED_BACK_OFF_MS = 1_000;
    /** In jobs of at most this many tasks each task may use all its attempts. */
    private static final int FULL_BUDGET_TASKS = 4;

    private final Context context;
    private final Queues queues;
    private final Lifecycle lifecycle;

    FailurePolicy(Components components) {
        this.context = components.context;
        this.queues = components.queues;
        this.lifecycle = components.lifecycle;
    }

    /** Handles a failed attempt whose charge is released. Returns whether the task is not retried. */
    boolean onFailure(JobState job, int index, Attempt attempt, String detail) {
        String problem = "attempt " + attempt.id + " failed on worker " + attempt.worker.id + ": " + detail;
        job.lastProblem = problem;
        job.failedOnWorker = attempt.worker.id;
        if (job.spec.jobClass() == JobClass.SERVICE) {
            restart(job, index, attempt, problem);
            return false;
        }
        Family family = job.family;
        family.noteFailure(job.spec.id(), attempt.worker.id);
        job.failures[index]++;
        job.totalFailures++;
        boolean exhausted = isExhausted(job, index);
        if (exhausted) {
            fail(job, index, problem);
        } else {
            job.retriesUsed++;
            lifecycle.requeue(job, index, problem, context.nowMs + backOffMs(job, job.failures[index]));
        }
        if (family.isFailingConsistently()) {
            setAsideFailingJobs(family);
        }
        return exhausted;
    }

    private void fail(JobState job, int index, String problem) {
        if (job.isGang()) {
            queues.move(job, index, TaskPhase.FAILED);
            lifecycle.abandon(job, JobStatus.Phase.FAILED, problem);
        } else {
            lifecycle.finishTask(job, index, TaskPhase.FAILED);
        }
    }

    /**
     * Whether a failed task is not retried: it has used its attempts, or its job has used its retry budget. Each
     * task of a small job may use all its attempts; a large job may retry as often as a quarter of its tasks could,
     * so that a faulty job of many tasks costs little more than one attempt per task.
     */
    private static boolean isExhausted(JobState job, int index) {
        int maxAttempts = job.spec.maxAttempts();
        if (job.isGang()) {
            return job.totalFailures >= maxAttempts;
        }
        int tasks = job.spec.tasks();
        long share = tasks <= FULL_BUDGET_TASKS ? tasks : Math.max(FULL_BUDGET_TASKS, tasks / 4);
        return job.failures[index] >= maxAttempts || job.retriesUsed >= (maxAttempts - 1) * share;
    }

    private void setAsideFailingJobs(Family family) {
        for (JobState job : new ArrayList<>(family.jobs)) {
            boolean service = job.spec.jobClass() == JobClass.SERVICE;
            if (!service && job.totalFailures > 0 && job.count(TaskPhase.SUCCEEDED) == 0) {
                lifecycle.abandon(job, JobStatus.Phase.SET_ASIDE, family.failureSummary());
            }
        }
    }

    void onServiceExit(JobState job, int index, Attempt attempt) {
        restart(job, index, attempt, "replica " + index + " exited on worker " + attempt.worker.id);
    }

    private void restart(JobState job, int index, Attempt attempt, String problem) {
        boolean stable = context.nowMs - attempt.startedAtMs >= STABLE_MS;
        job.failures[index] = stable ? 1 : job.failures[index] + 1;
        job.lastProblem = problem;
        lifecycle.requeue(job, index, problem, context.nowMs + backOffMs(job, job.failures[index]));
    }

    private static long backOffMs(JobState job, int failures) {
        long first = job.spec.jobClass() == JobClass.URGENT ? FIRST_URGENT_BACK_OFF_MS : FIRST_BACK_OFF_MS;
        return Math.min(MAX_BACK_OFF_MS, first << Math.min(failures - 1, 20));
    }

    long retryRefusedAtMs() {
        return context.nowMs + REFUSED_BACK_OFF_MS;
    }
}
