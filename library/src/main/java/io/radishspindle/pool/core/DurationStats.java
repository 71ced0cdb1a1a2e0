package io.radishspindle.pool.core;

import io.radishspindle.pool.prediction.RunTimePredictor;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Run times that the scheduler expects. Without learned run times, the work of a step is its declared estimate, and
 * only the ratio of actual to estimated run time of each image is tracked, to distinguish a slow worker from a wrong
 * estimate. Bounded; belongs to its scheduler; not thread-safe.
 */
final class DurationStats {
    private static final double SMOOTHING_WEIGHT = 0.15;
    private static final int MAX_IMAGES = 500;
    /** One of so many ended runs is logged; a busy pool has hundreds a second. */
    private static final int SAMPLE_INTERVAL_ENDS = 50;
    /** Giving up a job wrongly costs all of it, so that its rest is taken to be short there. */
    private static final double LOW_QUANTILE = 0.1;

    /** Time for which the forecast of an end is used again, in milliseconds; short beside the time of a stop. */
    private static final long FORECAST_AGE_MS = 100;

    private final Map<String, Double> ratioByImage = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
            return size() > MAX_IMAGES;
        }
    };

    private final RunTimePredictor predictor;
    private final List<PoolAction> actions;
    private long passMs;
    private long ends;

    /** @param actions receives a sample of the observed run times */
    DurationStats(RunTimePredictor predictor, List<PoolAction> actions) {
        this.predictor = predictor;
        this.actions = actions;
    }

    /** Whether run times are learned; otherwise the declared estimates count as the work of a job. */
    boolean isLearning() {
        return predictor.isLearning();
    }

    /** Sets the time of the current scheduling pass, on the owner's clock. */
    void beginPass(long nowMs) {
        passMs = nowMs;
    }

    /** Time of the current scheduling pass, on the owner's clock. */
    long passMs() {
        return passMs;
    }

    /** Expected duration of a task of the step, in milliseconds. */
    long expectedMs(StepState step) {
        if (isLearning()) {
            return (long) predictor.expectedMs(step.kind);
        }
        return (long) (step.spec.estimateMs() * ratioByImage.getOrDefault(image(step), 1.0));
    }

    /** Work of a task of the step that counts for the objective of its job, in milliseconds. */
    long workMs(StepState step) {
        return isLearning() ? expectedMs(step) : step.spec.estimateMs();
    }

    /** Work of a task of the step that is exceeded with high probability, in milliseconds. */
    long leastWorkMs(StepState step) {
        return isLearning() ? (long) predictor.quantileMs(step.kind, LOW_QUANTILE) : step.spec.estimateMs();
    }

    /** Expected rest of a run in milliseconds; 0 if its job is unknown or it is overdue by the estimate. */
    long expectedRestMs(RunState run, long nowMs) {
        TaskState task = run.task;
        if (task == null) {
            return 0;
        }
        long elapsedMs = Math.max(0, nowMs - run.sentAtMs);
        return isLearning()
                ? (long) predictor.expectedRestMs(task.step.kind, elapsedMs)
                : Math.max(0, expectedMs(task.step) - elapsedMs);
    }

    /**
     * Expected end of a run on the owner's clock; asked for each run in each pass. Where nothing is known of longer
     * runs, an overdue run is expected to take as much longer as it is overdue.
     */
    long expectedEndMs(RunState run, StepState step, long nowMs) {
        if (!isLearning()) {
            return nowMs + Math.abs(expectedMs(step) - (nowMs - run.sentAtMs));
        }
        if (nowMs >= run.forecastValidUntilMs) {
            run.forecastValidUntilMs = nowMs + FORECAST_AGE_MS;
            long restMs = expectedRestMs(run, nowMs);
            run.expectedEndMs = nowMs + (restMs > 0 ? restMs : Math.abs(expectedMs(step) - (nowMs - run.sentAtMs)));
        }
        return Math.max(nowMs, run.expectedEndMs);
    }

    private static String image(StepState step) {
        return step.spec.image().isEmpty() ? step.job.job.queue() : step.spec.image();
    }

    /** Time until the expected end of a run, in milliseconds; negative without learned run times if it is overdue. */
    long dueMs(RunState run, StepState step, long nowMs) {
        return isLearning() ? expectedRestMs(run, nowMs) : run.sentAtMs + expectedMs(step) - nowMs;
    }

    /**
     * Records the duration of a successful run; returns its ratio to the expected one, where 2 is twice as long.
     *
     * @param exact whether the end was reported at once, so that the duration is that of the run
     */
    double onEnded(RunState run, StepState step, long tookMs, boolean exact) {
        if (step.spec.fills()) {
            return 1;
        }
        if (!isLearning()) {
            return recordRelative(step, tookMs);
        }
        if (run.partial || !exact || step.spec.lasting()) {
            return 1;
        }
        double expectedMs = predictor.expectedMs(step.kind);
        if (ends++ % SAMPLE_INTERVAL_ENDS == 0) {
            actions.add(new PoolAction.RunTimeObserved(
                    step.kind, expectedMs, tookMs, predictor.source(step.kind), predictor.confidence(step.kind)));
        }
        predictor.onEnded(step.kind, tookMs / run.worker.health.runTimeFactor());
        return tookMs / expectedMs;
    }

    /** Records a run that was stopped or lost; it has lasted at least until a report last contained it. */
    void onStopped(RunState run, StepState step) {
        boolean comparable = !run.partial && !step.spec.fills() && !step.spec.lasting();
        if (isLearning() && comparable && run.lastSeenMs > run.sentAtMs) {
            predictor.onStopped(step.kind, run.lastSeenMs - run.sentAtMs);
        }
    }

    /** Records a duration; returns its ratio to the average of the image, where 2 is twice as long. */
    private double recordRelative(StepState step, long tookMs) {
        double ratio = Math.max(1, tookMs) / (double) Math.max(1, step.spec.estimateMs());
        String image = image(step);
        double usual = ratioByImage.getOrDefault(image, ratio);
        ratioByImage.put(image, usual + SMOOTHING_WEIGHT * (ratio - usual));
        return ratio / Math.max(0.01, usual);
    }
}
