package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;

/** Failures that end a request. Stateless and thread-safe. */
final class Refusals {
    static final String STEP = "routing.request";
    /** Retry-After if no better estimate is available, in milliseconds. */
    static final long DEFAULT_RETRY_MS = 1_000;

    private Refusals() {}

    static Failure unknownService(String service) {
        return Failure.rejected(ErrorCode.NOT_FOUND, STEP, "no service " + service);
    }

    static Failure notReady() {
        return Failure.retryable(
                ErrorCode.NOT_READY, STEP, "", "this VM has not received the list of endpoints yet", DEFAULT_RETRY_MS);
    }

    static Failure shuttingDown() {
        return Failure.retryable(ErrorCode.SHUTTING_DOWN, STEP, "", "this VM is shutting down", DEFAULT_RETRY_MS);
    }

    static Failure callerDisconnected() {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, "the caller closed its connection");
    }

    static Failure noExecutor(String service) {
        return Failure.retryable(
                ErrorCode.OVERLOADED, STEP, "", "no executor of " + service + " accepts requests", DEFAULT_RETRY_MS);
    }

    static Failure queueFull(String bound, int limit, long retryAfterMs) {
        String message = bound + " has " + limit + " requests waiting";
        return Failure.retryable(ErrorCode.OVERLOADED, STEP, "", message, retryAfterMs);
    }

    static Failure displaced(long retryAfterMs) {
        return Failure.retryable(
                ErrorCode.OVERLOADED,
                STEP,
                "",
                "displaced from the full queue by a request of a higher class",
                retryAfterMs);
    }

    static Failure waitTooLong(long waitMs, long remainingMs, long retryAfterMs) {
        String message =
                "expected time of " + waitMs + " ms to an answer exceeds the " + remainingMs + " ms to the deadline";
        return Failure.retryable(ErrorCode.DEADLINE_EXCEEDED, STEP, "", message, retryAfterMs);
    }

    static Failure deadlinePassed() {
        return Failure.rejected(ErrorCode.DEADLINE_EXCEEDED, STEP, "the deadline passed before the request was queued");
    }

    static Failure deadlineInQueue(boolean notRun, long retryAfterMs) {
        return new Failure(
                ErrorCode.DEADLINE_EXCEEDED,
                STEP,
                "",
                "the wait for a slot left too little time before the deadline",
                notRun,
                retryAfterMs);
    }

    static Failure deadlineWhileRunning(String peer) {
        String message = "deadline passed before the answer arrived; outcome unknown";
        return new Failure(ErrorCode.DEADLINE_EXCEEDED, STEP, peer, message, false, 0);
    }

    static Failure attemptsExhausted(Failure last, boolean notRun, long retryAfterMs) {
        ErrorCode code = notRun ? ErrorCode.OVERLOADED : ErrorCode.OUTCOME_UNKNOWN;
        return new Failure(code, STEP, last.peer(), "no attempt left: " + last.message(), notRun, retryAfterMs);
    }

    static Failure outcomeUnknown(Failure cause) {
        return Failure.outcomeUnknown(STEP, cause.peer(), cause.message() + "; outcome unknown");
    }
}
