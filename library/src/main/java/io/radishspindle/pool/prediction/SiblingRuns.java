package io.radishspindle.pool.prediction;

import java.util.Arrays;

/** Run times of the last ended tasks of one step. Bounded; not thread-safe. */
final class SiblingRuns {
    /** Tasks of a step have nearly the same run time, so that a few determine it. */
    private static final int MAX_RUNS = 8;
    /** Approximate size in bytes, with its key and the cached prediction of the step. */
    static final int FOOTPRINT_BYTES = 350;

    private final float[] ranMs = new float[MAX_RUNS];
    private int recorded;

    void record(double ms) {
        ranMs[recorded % MAX_RUNS] = (float) ms;
        recorded++;
    }

    /** Number of ends ever recorded. */
    int recorded() {
        return recorded;
    }

    int count() {
        return Math.min(recorded, MAX_RUNS);
    }

    double medianMs() {
        float[] sorted = Arrays.copyOf(ranMs, count());
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : Math.sqrt((double) sorted[middle - 1] * sorted[middle]);
    }
}
