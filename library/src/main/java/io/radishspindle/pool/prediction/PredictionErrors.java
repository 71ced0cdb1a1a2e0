package io.radishspindle.pool.prediction;

/**
 * Compares the predictions from each source with the declared estimates on the same ended runs. The error of a
 * prediction is the absolute logarithm of its ratio to the run time. Not thread-safe.
 *
 * <p>Invariant: the two errors of a source are averages over the same ends, so that they can be compared.
 */
final class PredictionErrors {
    /** Ends after which an older one counts little; an image that changes is to be believed within 20 ends. */
    private static final int MEMORY_ENDS = 16;
    /** Ends after which the errors of a source are comparable; a step often has no more than four tasks. */
    static final int MIN_ENDS = 3;
    /** Limit of an error, a factor of 20, so that a single outlier doesn't decide. */
    private static final double MAX_ERROR = Math.log(20);

    private final double[] error = new double[Source.COUNT];
    private final double[] estimateError = new double[Source.COUNT];
    private final int[] ends = new int[Source.COUNT];

    /** Records the errors for an ended run; a NaN prediction is left out. */
    void record(double[] predictedMs, double ranMs) {
        double declared = errorOf(predictedMs[Source.ESTIMATE.ordinal()], ranMs);
        for (int i = 0; i < predictedMs.length; i++) {
            if (!Double.isNaN(predictedMs[i])) {
                ends[i] = Math.min(MEMORY_ENDS, ends[i] + 1);
                error[i] += (errorOf(predictedMs[i], ranMs) - error[i]) / ends[i];
                estimateError[i] += (declared - estimateError[i]) / ends[i];
            }
        }
    }

    private static double errorOf(double predictedMs, double ranMs) {
        return Math.min(MAX_ERROR, Math.abs(Math.log(predictedMs / ranMs)));
    }

    boolean isComparable(Source source) {
        return ends[source.ordinal()] >= MIN_ENDS;
    }

    int ends(Source source) {
        return ends[source.ordinal()];
    }

    double error(Source source) {
        return error[source.ordinal()];
    }

    /** Error of the source relative to that of the estimate; 1 where both are exact. */
    double relative(Source source) {
        double declared = estimateError[source.ordinal()];
        return declared == 0 ? 1 + error[source.ordinal()] : error[source.ordinal()] / declared;
    }

    /** Returns the state as numbers, to be kept with {@link #restore}. */
    double[] toNumbers() {
        double[] numbers = new double[3 * Source.COUNT];
        for (int i = 0; i < Source.COUNT; i++) {
            numbers[3 * i] = error[i];
            numbers[3 * i + 1] = estimateError[i];
            numbers[3 * i + 2] = ends[i];
        }
        return numbers;
    }

    /** Replaces the state by that of {@link #toNumbers}; ignored if it is not valid. */
    void restore(double[] numbers) {
        for (int i = 0; i < Source.COUNT && 3 * i + 2 < numbers.length; i++) {
            boolean valid = numbers[3 * i] >= 0 && numbers[3 * i + 1] >= 0 && numbers[3 * i + 2] >= 0;
            if (valid) {
                error[i] = Math.min(MAX_ERROR, numbers[3 * i]);
                estimateError[i] = Math.min(MAX_ERROR, numbers[3 * i + 1]);
                ends[i] = (int) Math.min(MEMORY_ENDS, numbers[3 * i + 2]);
            }
        }
    }
}
