package io.radishspindle.membership;

import io.radishspindle.model.Resources;

/**
 * State of a group as its owner announces it. Immutable and thread-safe.
 *
 * @param group {@code <data centre>/<group name>}
 * @param total capacity of all usable workers
 * @param free what is free on all usable workers together
 * @param largestWorker capacity of the largest usable worker
 * @param queuedTasks tasks that wait
 * @param ready the owner may start tasks
 */
public record GroupSummary(
        String group,
        long epoch,
        Resources total,
        Resources free,
        Resources largestWorker,
        int queuedTasks,
        boolean ready) {}
