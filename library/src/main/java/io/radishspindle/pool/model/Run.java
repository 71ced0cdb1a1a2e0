package io.radishspindle.pool.model;

/**
 * One execution of a task. Immutable and thread-safe.
 *
 * @param attempt attempt number, from 1; increases with each start of the task
 */
public record Run(TaskName task, int attempt) {
    @Override
    public String toString() {
        return task + "@" + attempt;
    }
}
