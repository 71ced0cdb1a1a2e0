package io.radishspindle.placement.internal;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Actions scheduled for a later time; they run in order of time, then of registration. Not thread-safe. */
final class Timers {
    private record Entry(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::atMs).thenComparingLong(Entry::sequence));
    private long nextSequence;

    void at(long atMs, Runnable action) {
        entries.add(new Entry(atMs, nextSequence++, action));
    }

    void runDue(long nowMs) {
        Entry head = entries.peek();
        while (head != null && head.atMs() <= nowMs) {
            entries.poll();
            head.action().run();
            head = entries.peek();
        }
    }
}
