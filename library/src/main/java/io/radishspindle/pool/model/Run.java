package io.radishspindle.pool.model;

/**
 * One run of a task. Immutable and thread-safe.
 *
 * @param attempt number of the start, from 1; rises with each start of the task
 */
public record Run(TaskName task, int attempt) {
    @Override
    public String toString() {
        return task + "@" + attempt;
    }
}
