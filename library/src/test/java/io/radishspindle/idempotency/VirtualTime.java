package io.radishspindle.idempotency;

import io.radishspindle.platform.Clock;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Clock and timers in virtual time; tasks of the same time run in the order in which they were added. */
public final class VirtualTime implements Clock, Timers {
    private record Task(long atMs, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private long nowMs = 1_000;
    private long order;

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return 1_700_000_000_000L + nowMs;
    }

    @Override
    public void after(long delayMs, Runnable task) {
        tasks.add(new Task(nowMs + Math.max(0, delayMs), order++, task));
    }

    /** Runs all tasks that are due within {@code durationMs}. */
    public void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= endMs) {
            Task task = tasks.remove();
            nowMs = task.atMs();
            task.action().run();
        }
        nowMs = endMs;
    }
}
