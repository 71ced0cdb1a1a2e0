package io.radishspindle.pool.prediction;

/**
 * The groups of similar runs to which a run belongs, from the narrowest to the widest. Immutable and thread-safe.
 *
 * @param step name of the step in one occurrence of a job; its tasks are siblings
 * @param image image of the tasks; empty if there is none
 * @param estimateMs declared run time in milliseconds, at least 1
 */
public record RunKind(String step, String image, String queue, long estimateMs) {
    public RunKind {
        estimateMs = Math.max(1, estimateMs);
    }
}
