package io.radishspindle.pool.model;

import org.jspecify.annotations.Nullable;

/**
 * Policy of a queue in one version of the configuration. Immutable and thread-safe.
 *
 * @param pool name of the pool whose workers run the queue's tasks
 * @param priority 0 is the most urgent; lower values may preempt higher ones
 * @param maxAttempts number of failed runs of one task at which the job fails
 * @param slowdownFactor multiple of the job's critical path that is added to the objective
 * @param objectiveMs fixed part of the objective in milliseconds
 * @param anonymous callers need no API key, also where the deployment has tenants
 * @param advice set if an external service decides which workers may run a step; otherwise null
 */
public record QueuePolicy(
        String name,
        String host,
        String prefix,
        String pool,
        int priority,
        int maxAttempts,
        double slowdownFactor,
        long objectiveMs,
        boolean anonymous,
        @Nullable AdvicePolicy advice) {
    /** Host and prefix, by which callers know the queue in every version of the configuration that has it. */
    public String address() {
        return host + prefix;
    }
}
