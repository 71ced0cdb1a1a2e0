package io.radishspindle.pool.prediction;

import java.util.Map;
import java.util.Optional;

/**
 * Predicts run times on a worker of standard speed. Implementations belong to one scheduler; not thread-safe.
 *
 * <p>Invariant: without evidence a prediction is the declared estimate.
 */
public interface RunTimePredictor {
    /** Expected run time in milliseconds: its median, which the few runs of a heavy tail don't move. */
    double expectedMs(RunKind kind);

    /** Run time in milliseconds that is not exceeded with the given probability. */
    double quantileMs(RunKind kind, double probability);

    /** Median rest in milliseconds of a run that has lasted {@code elapsedMs}; with a heavy tail it grows. */
    double expectedRestMs(RunKind kind, double elapsedMs);

    /** Probability that a run that has lasted {@code elapsedMs} ends within the next {@code withinMs}. */
    double probabilityOfEnd(RunKind kind, double elapsedMs, double withinMs);

    /** Confidence in the predictions from 0, where only the estimate is known, to 1. */
    double confidence(RunKind kind);

    /** Name of the group of runs on which the prediction is based, for the log. */
    default String source(RunKind kind) {
        return "ESTIMATE";
    }

    /** Whether predictions change with the recorded ends; otherwise they are the declared estimates. */
    default boolean isLearning() {
        return true;
    }

    /** Number of ends recorded so far; it changes whenever something was learned. */
    default long ends() {
        return 0;
    }

    /** Mean error of the predictions by queue, as the absolute logarithm of the ratio to the run time. */
    default Map<String, Double> errorByQueue() {
        return Map.of();
    }

    /** Returns what was learned, with at most {@code maxGroups} images and queues; empty if nothing ever is. */
    default Optional<RunTimeEvidence> evidence(int maxGroups) {
        return Optional.empty();
    }

    /** Adopts what an earlier owner learned. */
    default void restore(RunTimeEvidence evidence) {
        // predictors that learn nothing ignore it
    }

    /** Records the run time of a successful run, normalised to standard speed. */
    void onEnded(RunKind kind, double ranMs);

    /** Records that a run was stopped after {@code ranMs}, so that its run time is at least that. */
    void onStopped(RunKind kind, double ranMs);
}
