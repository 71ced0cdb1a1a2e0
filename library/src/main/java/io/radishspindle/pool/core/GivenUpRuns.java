package io.radishspindle.pool.core;

import io.radishspindle.pool.model.Run;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers runs that were given up without a report of their end, to notice an end that is reported later. Belongs to
 * its scheduler; not thread-safe.
 *
 * <p>Invariant: holds the last {@link #MAX_RUNS} runs that were given up at most.
 */
final class GivenUpRuns {
    /** More than a pool of 300 workers has in use at once. */
    private static final int MAX_RUNS = 5_000;

    private final Map<Run, Long> givenUpAtMs = new LinkedHashMap<>();

    void add(Run run, long nowMs) {
        givenUpAtMs.remove(run);
        givenUpAtMs.put(run, nowMs);
        if (givenUpAtMs.size() > MAX_RUNS) {
            givenUpAtMs.remove(givenUpAtMs.keySet().iterator().next());
        }
    }

    boolean contains(Run run) {
        return givenUpAtMs.containsKey(run);
    }

    /** Removes a run; returns when it was given up. */
    Optional<Long> remove(Run run) {
        return Optional.ofNullable(givenUpAtMs.remove(run));
    }
}
