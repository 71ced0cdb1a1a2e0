package io.radishspindle.pool.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks by queue which share of the workers the advice service approves. Bounded; belongs to its scheduler; not
 * thread-safe.
 */
final class ApprovalRates {
    private static final double SMOOTHING_WEIGHT = 0.1;
    /** Rate of a queue without a call so far. */
    private static final double INITIAL_RATE = 0.5;
    /** A lower rate would let a single call name more workers than the service accepts. */
    private static final double MIN_RATE = 0.05;

    private static final int MAX_QUEUES = 500;

    private final Map<String, Double> rateByQueue = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_QUEUES;
        }
    };

    /** Records a call that named workers about which the service was not queried before. */
    void record(String queue, int queried, int approved) {
        if (queried > 0) {
            double rate = rate(queue);
            rateByQueue.put(queue, rate + SMOOTHING_WEIGHT * ((double) approved / queried - rate));
        }
    }

    double rate(String queue) {
        return Math.max(MIN_RATE, rateByQueue.getOrDefault(queue, INITIAL_RATE));
    }
}
