package io.radishspindle.config;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs scheduled actions in the order of their virtual times; equal times run in the order of scheduling. */
public final class VirtualTime {
    /** An action and its time. */
    private record Scheduled(long atMs, long order, Runnable action) {}

    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::order));
    private long nowMs;
    private long order;

    public long nowMs() {
        return nowMs;
    }

    public void after(long delayMs, Runnable action) {
        queue.add(new Scheduled(nowMs + delayMs, order++, action));
    }

    public void every(long periodMs, Runnable action) {
        after(periodMs, () -> {
            action.run();
            every(periodMs, action);
        });
    }

    public void runFor(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!queue.isEmpty() && queue.element().atMs() <= endMs) {
            Scheduled next = queue.remove();
            nowMs = next.atMs();
            next.action().run();
        }
        nowMs = endMs;
    }
}
