package io.radishspindle.pool.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tracks the ratio of actual to estimated run time of each image, to distinguish a slow worker from a wrong
 * estimate. Bounded; belongs to its scheduler; not thread-safe.
 */
final class DurationStats {
    private static final double SMOOTHING_WEIGHT = 0.15;
    private static final int MAX_IMAGES = 500;

    private final Map<String, Double> ratioByImage = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_IMAGES;
        }
    };

    /** Expected duration of a task of the step, in milliseconds. */
    long expectedMs(StepState step) {
        return (long) (step.spec.estimateMs() * ratioByImage.getOrDefault(image(step), 1.0));
    }

    private static String image(StepState step) {
        return step.spec.image().isEmpty() ? step.job.job.queue() : step.spec.image();
    }

    /** Records a duration; returns its ratio to the average of the image, where 2 is twice as long. */
    double recordRelative(StepState step, long tookMs) {
        double ratio = Math.max(1, tookMs) / (double) Math.max(1, step.spec.estimateMs());
        String image = image(step);
        double usual = ratioByImage.getOrDefault(image, ratio);
        ratioByImage.put(image, usual + SMOOTHING_WEIGHT * (ratio - usual));
        return ratio / Math.max(0.01, usual);
    }
}
