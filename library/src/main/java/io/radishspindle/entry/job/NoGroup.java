package io.radishspindle.entry.job;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;

/** Errors when no group of workers can take a job. Stateless and thread-safe. */
final class NoGroup {
    /** A takeover takes about 1.2 s; a retry after this time finds the new owner in most cases. */
    private static final long RETRY_AFTER_TAKEOVER_MS = 1_500;

    private NoGroup() {}

    /** No group is known that has an owner with the right to start tasks. */
    static Failure noReadyGroup(String step) {
        return Failure.retryable(
                ErrorCode.NO_OWNER, step, "", "no group of workers has a ready owner", RETRY_AFTER_TAKEOVER_MS);
    }

    /** The group of a job has no known owner at the moment. */
    static Failure noOwner(String step, String group) {
        return Failure.retryable(
                ErrorCode.NO_OWNER, step, group, "group " + group + " has no known owner", RETRY_AFTER_TAKEOVER_MS);
    }

    /** No group could ever run the job with its present workers. */
    static Failure neverFits(Resources perTask, int tasks, Resources largestWorker) {
        return Failure.rejected(
                ErrorCode.NEVER_FITS,
                "job.choose-group",
                "no group can run " + tasks + " x " + describe(perTask) + "; the largest worker has "
                        + describe(largestWorker));
    }

    /** The job id does not name a group. */
    static Failure unknownJob(String jobId) {
        return Failure.rejected(ErrorCode.NOT_FOUND, "job.find", "no job " + jobId);
    }

    private static String describe(Resources r) {
        return r.milliCores() + " mCPU, " + r.memoryMib() + " MiB, " + r.accelerators() + " accelerators";
    }
}
