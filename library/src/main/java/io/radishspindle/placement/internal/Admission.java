package io.radishspindle.placement.internal;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import java.util.Optional;

/** Checks jobs before they are accepted. Changes nothing; not thread-safe. */
final class Admission {
    private static final String STEP = "job.check";
    private static final long NO_WORKERS_RETRY_MS = 2_000;
    private static final long QUEUE_FULL_RETRY_MS = 5_000;
    private static final int MAX_TASKS = 100_000;

    private final Context context;
    private final Jobs jobs;
    private final Queues queues;
    private final WorkerTable workers;
    private final Sizing sizing;

    Admission(Components components) {
        this.context = components.context;
        this.jobs = components.jobs;
        this.queues = components.queues;
        this.workers = components.workers;
        this.sizing = components.sizing;
    }

    Either<Failure, JobSpec> check(JobSpec job) {
        return invalid(job)
                .or(() -> alreadyAccepted(job))
                .or(() -> noWorkers())
                .or(() -> zeroQuota(job))
                .or(() -> neverFits(job))
                .or(() -> queueFull(job))
                .<Either<Failure, JobSpec>>map(Either::left)
                .orElseGet(() -> Either.right(job));
    }

    private static Optional<Failure> invalid(JobSpec job) {
        Resources r = job.perTask();
        if (job.id().isBlank() || job.team().isBlank() || job.family().isBlank()) {
            return reject(ErrorCode.INVALID_REQUEST, "id, team and family must not be empty");
        }
        if (job.tasks() < 1 || job.tasks() > MAX_TASKS) {
            return reject(ErrorCode.INVALID_REQUEST, "tasks is " + job.tasks() + ", must be 1 to " + MAX_TASKS);
        }
        if (r.milliCores() < 0 || r.memoryMib() < 0 || r.accelerators() < 0 || r.equals(Resources.NONE)) {
            return reject(ErrorCode.INVALID_REQUEST, "resources per task must be at least 0 and not all 0: " + r);
        }
        if (job.expectedRunMs() < 0) {
            return reject(
                    ErrorCode.INVALID_REQUEST, "expectedRunMs is " + job.expectedRunMs() + ", must be at least 0");
        }
        if (job.maxAttempts() < 1 && job.jobClass() != JobClass.SERVICE) {
            return reject(ErrorCode.INVALID_REQUEST, "maxAttempts is " + job.maxAttempts() + ", must be at least 1");
        }
        return Optional.empty();
    }

    private Optional<Failure> alreadyAccepted(JobSpec job) {
        return jobs.isKnown(job.id())
                ? reject(ErrorCode.CONFLICT, "a job with id " + job.id() + " was accepted before")
                : Optional.empty();
    }

    private Optional<Failure> noWorkers() {
        if (!workers.all().isEmpty()) {
            return Optional.empty();
        }
        String message = "the group has no known workers yet";
        return Optional.of(Failure.retryable(ErrorCode.NOT_READY, STEP, "", message, NO_WORKERS_RETRY_MS));
    }

    private Optional<Failure> zeroQuota(JobSpec job) {
        Resources quota = context.policy.quotaOf(job.team());
        Resources need = job.perTask();
        boolean impossible = quota.milliCores() <= 0 && need.milliCores() > 0
                || quota.memoryMib() <= 0 && need.memoryMib() > 0
                || quota.accelerators() <= 0 && need.accelerators() > 0;
        if (!impossible) {
            return Optional.empty();
        }
        return reject(
                ErrorCode.QUOTA_EXCEEDED,
                "each task needs " + Explainer.format(need) + ", the quota of team " + job.team() + " is "
                        + Explainer.format(quota) + " and a resource with quota 0 can't be borrowed");
    }

    private Optional<Failure> neverFits(JobSpec job) {
        Resources need = job.perTask();
        int count = job.jobClass() == JobClass.ALL_AT_ONCE ? job.tasks() : 1;
        int capacity = sizing.capacityFor(need, count);
        if (capacity >= count) {
            return Optional.empty();
        }
        String each = "each task needs " + Explainer.format(need);
        if (capacity > 0) {
            return reject(
                    ErrorCode.NEVER_FITS,
                    each + " and all " + count + " start together, but the "
                            + workers.all().size() + " workers of the group hold only " + capacity + " when empty");
        }
        return reject(
                ErrorCode.NEVER_FITS,
                each + ", no single one of the " + workers.all().size() + " workers of the group is large enough; the"
                        + " largest amounts on any of them are " + Explainer.format(sizing.largestAmounts()));
    }

    private Optional<Failure> queueFull(JobSpec job) {
        int limit = context.policy.maxQueuedTasks();
        long queued = queues.waitingTasks();
        if (queued + job.tasks() <= limit) {
            return Optional.empty();
        }
        String message = queued + " tasks wait and the job has " + job.tasks() + ", the queue holds at most " + limit;
        return Optional.of(Failure.retryable(ErrorCode.OVERLOADED, STEP, "", message, QUEUE_FULL_RETRY_MS));
    }

    private static Optional<Failure> reject(ErrorCode code, String message) {
        return Optional.of(Failure.rejected(code, STEP, message));
    }
}
