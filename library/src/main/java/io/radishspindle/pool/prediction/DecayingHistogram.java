package io.radishspindle.pool.prediction;

import java.util.stream.IntStream;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * A histogram of positive values on a logarithmic scale that forgets old values: all counts are halved after a fixed
 * number of new ones. Not thread-safe.
 *
 * <p>Invariants: the weight stays below twice the number of values after which counts are halved; values outside the
 * range count as its ends.
 */
final class DecayingHistogram {
    /** Count of one new value; large, so that halving and redistribution lose little by rounding. */
    private static final int UNIT = 4_096;
    /** A lower bound below nearly all values says nothing about them. */
    private static final double UNINFORMATIVE_SHARE = 0.95;
    /** One digit keeps values apart that differ by a sixteenth, and a histogram at about one KiB. */
    private static final int SIGNIFICANT_DIGITS = 1;

    private final double scale;
    private final long highest;
    private final int halveAfter;
    private IntCountsHistogram counts;
    private int sinceHalved;
    private double median = Double.NaN;

    /**
     * Creates an empty histogram.
     *
     * @param lowest smallest distinguishable value
     * @param highest largest distinguishable value
     * @param halveAfter number of new values after which the counts are halved
     */
    DecayingHistogram(double lowest, double highest, int halveAfter) {
        scale = 1 / lowest;
        this.highest = Math.round(highest * scale);
        this.halveAfter = halveAfter;
        counts = empty();
    }

    private IntCountsHistogram empty() {
        return new IntCountsHistogram(1, highest, SIGNIFICANT_DIGITS);
    }

    private long toUnits(double value) {
        return Math.max(1, Math.min(highest, Math.round(value * scale)));
    }

    /** Number of values that count, where an old value counts less than one. */
    double weight() {
        return counts.getTotalCount() / (double) UNIT;
    }

    boolean isEmpty() {
        return counts.getTotalCount() == 0;
    }

    void record(double value) {
        add(toUnits(value), UNIT);
        onAdded();
    }

    /**
     * Records a value of which only a lower bound is known: it is shared out among the values above the bound, in
     * proportion to their counts, as the Kaplan-Meier estimate does.
     */
    void recordAtLeast(double bound) {
        if (counts.getTotalCount() == 0) {
            return;
        }
        long units = toUnits(bound);
        long above = countAbove(units);
        if (above > UNINFORMATIVE_SHARE * counts.getTotalCount()) {
            return;
        }
        if (above == 0) {
            record(bound);
            return;
        }
        IntCountsHistogram old = counts.copy();
        long left = UNIT;
        long most = 0;
        long mostAt = units;
        for (HistogramIterationValue at : old.recordedValues()) {
            if (at.getValueIteratedTo() > old.highestEquivalentValue(units)) {
                long share = UNIT * at.getCountAtValueIteratedTo() / above;
                add(at.getValueIteratedTo(), share);
                left -= share;
                if (at.getCountAtValueIteratedTo() > most) {
                    most = at.getCountAtValueIteratedTo();
                    mostAt = at.getValueIteratedTo();
                }
            }
        }
        add(mostAt, left);
        onAdded();
    }

    private void add(long units, long count) {
        if (count > 0) {
            counts.recordValueWithCount(units, count);
        }
    }

    private void onAdded() {
        median = Double.NaN;
        if (++sinceHalved >= halveAfter) {
            sinceHalved = 0;
            IntCountsHistogram old = counts;
            counts = empty();
            for (HistogramIterationValue at : old.recordedValues()) {
                add(at.getValueIteratedTo(), at.getCountAtValueIteratedTo() / 2);
            }
        }
    }

    /** Median of the values; the histogram must not be empty. */
    double median() {
        if (Double.isNaN(median)) {
            median = quantile(0.5);
        }
        return median;
    }

    /** Value that is not exceeded with the given probability; the histogram must not be empty. */
    double quantile(double probability) {
        return middle(counts.getValueAtPercentile(100 * probability));
    }

    /** Median of the values above a bound; NaN if there are none. */
    double medianAbove(double bound) {
        long above = countAbove(toUnits(bound));
        if (above == 0) {
            return Double.NaN;
        }
        return quantile(1 - above / 2.0 / counts.getTotalCount());
    }

    /** Share of the values that are above the bound. */
    double shareAbove(double bound) {
        return isEmpty() ? 0 : countAbove(toUnits(bound)) / (double) counts.getTotalCount();
    }

    private long countAbove(long units) {
        return units >= highest ? 0 : counts.getCountBetweenValues(counts.nextNonEquivalentValue(units), highest);
    }

    private double middle(long units) {
        return (counts.lowestEquivalentValue(units) + counts.highestEquivalentValue(units)) / 2.0 / scale;
    }

    /** Approximate size in bytes. */
    int footprintBytes() {
        return counts.getEstimatedFootprintInBytes();
    }

    /** Returns the counts as pairs of a value and its count, to be kept with {@link #restore}. */
    int[] pairs() {
        IntStream.Builder pairs = IntStream.builder();
        for (HistogramIterationValue at : counts.recordedValues()) {
            pairs.add((int) at.getValueIteratedTo()).add((int) at.getCountAtValueIteratedTo());
        }
        return pairs.build().toArray();
    }

    /** Replaces the counts by those of {@link #pairs}; invalid pairs are left out. */
    void restore(int[] pairs) {
        counts = empty();
        median = Double.NaN;
        long limit = 2L * halveAfter * UNIT;
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            boolean valid = pairs[i] >= 1 && pairs[i] <= highest && pairs[i + 1] > 0;
            if (valid && counts.getTotalCount() + pairs[i + 1] <= limit) {
                add(pairs[i], pairs[i + 1]);
            }
        }
    }
}
