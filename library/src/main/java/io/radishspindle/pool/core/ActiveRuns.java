package io.radishspindle.pool.core;

import io.radishspindle.pool.model.TaskName;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the runs that occupy or may occupy workers, by task. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: contains every run of every worker, also those of unknown jobs and those that are not the run of their
 * task since it has another one.
 */
final class ActiveRuns {
    private final Map<TaskName, Integer> counts = new HashMap<>();

    void onOccupied(TaskName task) {
        counts.merge(task, 1, Integer::sum);
    }

    void onReleased(TaskName task) {
        counts.computeIfPresent(task, (name, count) -> count > 1 ? count - 1 : null);
    }

    boolean contains(TaskName task) {
        return counts.containsKey(task);
    }
}
