package io.radishspindle.pool.prediction;

/**
 * Evidence from the ended runs of one image, one queue or the pool. Not thread-safe.
 *
 * <p>Invariant: an image group keeps run times, the others residuals by source.
 */
final class RunGroup {
    /** Smallest and largest ratio of a run time to an estimate or a prediction that is distinguished. */
    private static final double MIN_RATIO = 0.001;

    private static final double MAX_RATIO = 1_000;
    /** Longest run time that is distinguished, in milliseconds: four hours. */
    private static final double MAX_RUN_MS = 4 * 3_600_000.0;
    /** Half-life of the evidence of an image in ends, so that a changed image is believed within 20. */
    private static final int IMAGE_HALF_LIFE_ENDS = 10;
    /** Half-life of wider evidence in ends: long enough for several of the rare long runs. */
    private static final int WIDE_HALF_LIFE_ENDS = 200;

    final DecayingHistogram ratios;
    final DecayingHistogram[] timesOrResiduals;
    final PredictionErrors errors = new PredictionErrors();

    private RunGroup(int halfLifeEnds, DecayingHistogram[] timesOrResiduals) {
        ratios = ratios(halfLifeEnds);
        this.timesOrResiduals = timesOrResiduals;
    }

    static RunGroup ofImage() {
        DecayingHistogram times = new DecayingHistogram(1, MAX_RUN_MS, IMAGE_HALF_LIFE_ENDS);
        return new RunGroup(IMAGE_HALF_LIFE_ENDS, new DecayingHistogram[] {times});
    }

    /** Creates the group of a queue or a pool. */
    static RunGroup wide() {
        DecayingHistogram[] residuals = new DecayingHistogram[Source.COUNT];
        for (int i = 0; i < residuals.length; i++) {
            residuals[i] = ratios(WIDE_HALF_LIFE_ENDS);
        }
        return new RunGroup(WIDE_HALF_LIFE_ENDS, residuals);
    }

    private static DecayingHistogram ratios(int halfLifeEnds) {
        return new DecayingHistogram(MIN_RATIO, MAX_RATIO, halfLifeEnds);
    }

    /** Run times of an image group, in milliseconds. */
    DecayingHistogram times() {
        return timesOrResiduals[0];
    }

    /** Ratios of run times to the predictions from a source, in a queue or the pool. */
    DecayingHistogram residuals(Source source) {
        return timesOrResiduals[source.ordinal()];
    }

    int footprintBytes() {
        int sum = ratios.footprintBytes();
        for (DecayingHistogram histogram : timesOrResiduals) {
            sum += histogram.footprintBytes();
        }
        return sum;
    }
}
