package io.radishspindle.model;

import java.util.Map;

/**
 * What a caller asks to be run. Immutable and thread-safe.
 *
 * @param id unique within the cell; chosen by the entry VM or derived from the caller's idempotency key
 * @param team the team whose quota is charged
 * @param family jobs of one family are expected to behave alike; usage and failures are learnt per family
 * @param jobClass the scheduling class
 * @param tasks number of tasks, at least 1; replicas for a service, gang size for an all-at-once job
 * @param perTask declared resources of each task
 * @param expectedRunMs declared run time of a task in milliseconds; may be far off
 * @param maxAttempts how often a failing task is started at most, at least 1; ignored for services
 * @param parameters passed to the worker with each start
 */
public record JobSpec(
        String id,
        String team,
        String family,
        JobClass jobClass,
        int tasks,
        Resources perTask,
        long expectedRunMs,
        int maxAttempts,
        Map<String, String> parameters) {
    public JobSpec {
        parameters = Map.copyOf(parameters);
    }
}
