package io.radishspindle.entry.job;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;

/** Errors in the body of a submitted job. Stateless and thread-safe. */
final class InvalidJob {
    private InvalidJob() {}

    static Failure invalidJob(String field, String problem) {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, "job.parse", field + ": " + problem);
    }
}
