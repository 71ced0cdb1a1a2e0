package io.radishspindle.pool.model;

/**
 * Expected duration and validity of calls to the placement advice service for a queue. Immutable and thread-safe.
 *
 * @param decisionMs fixed part of a call in milliseconds
 * @param perWorkerMs additional milliseconds for each worker named
 * @param validMs milliseconds for which a ticket is accepted
 */
public record AdvicePolicy(double decisionMs, double perWorkerMs, long validMs) {
    /** Expected duration of a call that names {@code workers} workers, in milliseconds. */
    public long callMs(int workers) {
        return (long) Math.ceil(decisionMs + perWorkerMs * workers);
    }
}
