package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;

/** How one attempt of a request ended. Implementations are immutable. */
public sealed interface AttemptOutcome {
    /**
     * A complete answer.
     *
     * @param leaving the executor is leaving and requests no further work
     */
    record Answered(int status, boolean leaving) implements AttemptOutcome {}

    /** The executor had no free slot and did not run the request. */
    record Busy(boolean leaving) implements AttemptOutcome {}

    /** No complete answer; {@link Failure#notRun} is true if the request can't have run. */
    record Failed(Failure failure) implements AttemptOutcome {
        /** True if the request is invalid, so that no executor would accept it. */
        boolean isCallersFault() {
            return failure.notRun() && failure.code() == ErrorCode.INVALID_REQUEST;
        }
    }
}
