package io.radishspindle.soak;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Virtual time, seeded randomness and a log of the last events. Not thread-safe. Events of the same millisecond run
 * in the order in which they were scheduled, so that a seed always gives the same run.
 */
final class Simulation {
    private static final int KEPT_LINES = 60;

    private record Scheduled(long atMs, long number, Runnable action) {}

    final UniformRandomProvider random;
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::atMs).thenComparingLong(Scheduled::number));
    private final Deque<String> log = new ArrayDeque<>();
    private final String traced;
    private long now;
    private long number;

    /**
     * @param traced prints each noted event that contains this text; prints nothing if empty
     */
    Simulation(long seed, String traced) {
        this.traced = traced;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    long now() {
        return now;
    }

    void after(long delayMs, Runnable action) {
        number++;
        queue.add(new Scheduled(now + delayMs, number, action));
    }

    void every(long periodMs, Runnable action) {
        after(periodMs, () -> {
            action.run();
            every(periodMs, action);
        });
    }

    void runUntil(long endMs) {
        while (!queue.isEmpty() && queue.peek().atMs() <= endMs) {
            Scheduled next = queue.remove();
            now = next.atMs();
            next.action().run();
        }
        now = endMs;
    }

    boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    long between(long low, long high) {
        return low + random.nextLong(high - low + 1);
    }

    void note(String line) {
        log.add(now + " " + line);
        if (!traced.isEmpty() && (line + " ").contains(traced)) {
            System.out.println(now + " " + line);
        }
        if (log.size() > KEPT_LINES) {
            log.remove();
        }
    }

    Iterable<String> lastLines() {
        return log;
    }
}
