package io.radishspindle.pool.prediction;

import java.util.Map;

/**
 * What was learned about run times, in a form to be stored. Immutable by convention: the arrays are not changed.
 *
 * @param version version of the format
 */
public record RunTimeEvidence(int version, Map<String, Group> images, Map<String, Group> queues, Group pool) {
    /** Version of the format that this build writes, and the latest that it reads. */
    public static final int VERSION = 1;

    /**
     * Evidence of one group of runs. A histogram is a list of pairs of a value and its count.
     *
     * @param ratios histogram of the ratios of run times to estimates
     * @param others histograms of the run times of an image, or of the residuals of a queue or a pool
     * @param errors errors of the predictions by source
     */
    @SuppressWarnings("ArrayRecordComponent") // a value to be stored, never compared
    public record Group(int[] ratios, int[][] others, double[] errors) {
        void copyTo(RunGroup group) {
            group.ratios.restore(ratios);
            for (int i = 0; i < Math.min(others.length, group.timesOrResiduals.length); i++) {
                group.timesOrResiduals[i].restore(others[i]);
            }
            group.errors.restore(errors);
        }
    }

    static Group of(RunGroup group) {
        int[][] others = new int[group.timesOrResiduals.length][];
        for (int i = 0; i < others.length; i++) {
            others[i] = group.timesOrResiduals[i].pairs();
        }
        return new Group(group.ratios.pairs(), others, group.errors.toNumbers());
    }
}
