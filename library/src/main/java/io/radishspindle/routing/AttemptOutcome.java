package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;

/** How one attempt of a request ended. Implementations are immutable. */
public sealed interface AttemptOutcome {
    /**
     * A whole answer.
     *
     * @param leaving the executor asks for no further work
     */
    record Answered(int status, boolean leaving) implements AttemptOutcome {}

    /** The executor had no free slot and did not run the request. */
    record Busy(boolean leaving) implements AttemptOutcome {}

    /** No whole answer; {@link Failure#notRun} tells whether the request can have run. */
    record Failed(Failure failure) implements AttemptOutcome {
        /** The request can't be sent to any executor as it is. */
        boolean isCallersFault() {
            return failure.notRun() && failure.code() == ErrorCode.INVALID_REQUEST;
        }
    }
}
