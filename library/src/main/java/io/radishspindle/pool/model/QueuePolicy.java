package io.radishspindle.pool.model;

import org.jspecify.annotations.Nullable;

/**
 * Policy of a queue in one version of the configuration. Immutable and thread-safe.
 *
 * @param pool name of the pool whose workers run the queue's tasks
 * @param priority 0 is the most urgent; lower values may preempt higher ones
 * @param maxAttempts runs of a task that may end as failed before the job fails
 * @param slowdownFactor share of the objective that grows with the job's critical path
 * @param objectiveMs fixed share of the objective in milliseconds
 * @param advice set if only an outside service knows which workers may run a step
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
        @Nullable AdvicePolicy advice) {}
