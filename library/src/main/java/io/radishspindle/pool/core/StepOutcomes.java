package io.radishspindle.pool.core;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * How the last run of a step ended on each worker, by which failures of the step are told from failures of a worker.
 * Belongs to its step; not thread-safe.
 */
final class StepOutcomes {
    private static final long SUCCEEDED = Long.MAX_VALUE;

    /** Start of the first run on each worker that has failed since the last success there, or {@link #SUCCEEDED}. */
    private final Map<String, Long> failedStartMs = new HashMap<>();

    void onSucceeded(String workerId) {
        failedStartMs.put(workerId, SUCCEEDED);
    }

    void onFailed(String workerId, long startedAtMs) {
        failedStartMs.merge(workerId, startedAtMs, Math::min);
    }

    /** The workers on which the step has run. */
    Set<String> workers() {
        return failedStartMs.keySet();
    }

    boolean hasFailedOn(String workerId) {
        return hasFailedBefore(workerId, SUCCEEDED);
    }

    /**
     * Whether runs on a worker have failed since the last success there, the first one started before a certain time.
     */
    boolean hasFailedBefore(String workerId, long atMs) {
        return failedStartMs.getOrDefault(workerId, SUCCEEDED) < atMs;
    }

    /** Number of other workers on which the last run failed. */
    long failuresElsewhere(String workerId) {
        return countElsewhere(workerId, true);
    }

    /** Number of other workers on which the last run succeeded. */
    long successesElsewhere(String workerId) {
        return countElsewhere(workerId, false);
    }

    private long countElsewhere(String workerId, boolean failed) {
        return failedStartMs.entrySet().stream()
                .filter(outcome -> (outcome.getValue() != SUCCEEDED) == failed
                        && !outcome.getKey().equals(workerId))
                .count();
    }
}
