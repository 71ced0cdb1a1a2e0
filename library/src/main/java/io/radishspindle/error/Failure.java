package io.radishspindle.error;

/**
 * An error as a value. Immutable and thread-safe.
 *
 * <p>Invariant: {@code notRun} is true only if it is certain that the request or change had no effect.
 *
 * @param step what was being done, for example {@code store.put}
 * @param peer the other side, for example {@code store 127.0.0.1:7000}; empty if none was involved
 * @param retryAfterMs milliseconds after which a retry may succeed; 0 if a retry is pointless
 */
public record Failure(ErrorCode code, String step, String peer, String message, boolean notRun, long retryAfterMs) {

    /** A failure without any effect, which a retry can't mend. */
    public static Failure rejected(ErrorCode code, String step, String message) {
        return new Failure(code, step, "", message, true, 0);
    }

    /** A failure without any effect; the same request may succeed after {@code retryAfterMs}. */
    public static Failure retryable(ErrorCode code, String step, String peer, String message, long retryAfterMs) {
        return new Failure(code, step, peer, message, true, retryAfterMs);
    }

    /** A failure after which it is unknown whether the request had an effect. */
    public static Failure outcomeUnknown(String step, String peer, String message) {
        return new Failure(ErrorCode.OUTCOME_UNKNOWN, step, peer, message, false, 0);
    }
}
