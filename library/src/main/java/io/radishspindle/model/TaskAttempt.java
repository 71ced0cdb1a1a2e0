package io.radishspindle.model;

/**
 * One attempt to run a task. Immutable and thread-safe. The epoch makes attempts of successive owners distinct
 * without a store write per start.
 *
 * @param epoch epoch of the group owner that started the attempt
 * @param number number of the attempt within the epoch, from 1
 */
public record TaskAttempt(TaskId task, long epoch, int number) {
    @Override
    public String toString() {
        return task + "@" + epoch + "." + number;
    }
}
