package io.radishspindle.pool.prediction;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Predicts run times from the ends of earlier runs: a typical run time from the source that explained the last ends
 * best, spread by the ratios of earlier run times to the predictions from that source. Not thread-safe.
 *
 * <p>Invariants: a source is used only while its errors are smaller than those of the estimate by a margin; the number
 * of groups is bounded.
 */
public final class LearnedRunTimes implements RunTimePredictor {
    private static final int MAX_IMAGES = 500;
    private static final int MAX_QUEUES = 100;
    /** Steps with ended tasks; more than the unfinished jobs of a busy pool have. */
    private static final int MAX_STEPS = 3_000;
    /** Highest error of a source relative to that of the estimate at which it replaces the estimate. */
    private static final double MAX_RELATIVE_ERROR = 0.8;
    /** Weight of the wider group beside one end; beside more it falls with the square of their number. */
    private static final double WIDER_WEIGHT = 2;
    /** Weight of the wider group beside one sibling, which has nearly the same run time. */
    private static final double WIDER_WEIGHT_BESIDE_SIBLINGS = 0.1;
    /** Residuals of a queue that are needed instead of those of the pool: one in ten exceeds the 90% quantile. */
    private static final int MIN_RESIDUALS = 10;
    /** A run that has lasted longer than all earlier ones is expected to last this share longer. */
    private static final double REST_BEYOND_EVIDENCE = 0.5;
    /** Ends of other steps, and their share of all ends, that a prediction may miss, as it is asked for very often. */
    private static final int MAX_MISSED_ENDS = 20;

    private static final double MAX_MISSED_SHARE = 0.02;
    /** Ends at which a prediction is half as certain as it can be. */
    private static final double HALF_CONFIDENCE_ENDS = 4;

    private final Map<String, RunGroup> images = new BoundedMap<>(MAX_IMAGES);
    private final Map<String, RunGroup> queues = new BoundedMap<>(MAX_QUEUES);
    private final Map<String, SiblingRuns> steps = new BoundedMap<>(MAX_STEPS);
    private final Map<String, Cached> cached = new BoundedMap<>(MAX_STEPS);
    private final RunGroup pool = RunGroup.wide();
    private long ends;

    /** Prediction of the typical run time with the source that it comes from. */
    private record Typical(double ms, Source source) {}

    /** Prediction for a step, with the number of ends of the step and of the pool for which it was made. */
    private record Cached(Typical typical, int siblings, long ends) {}

    @Override
    public double expectedMs(RunKind kind) {
        return typical(kind).ms();
    }

    @Override
    public double quantileMs(RunKind kind, double probability) {
        Typical typical = typical(kind);
        DecayingHistogram residuals = residuals(kind, typical.source());
        return residuals == null ? typical.ms() : typical.ms() * residuals.quantile(probability);
    }

    @Override
    public double expectedRestMs(RunKind kind, double elapsedMs) {
        Typical typical = typical(kind);
        DecayingHistogram residuals = residuals(kind, typical.source());
        if (residuals == null) {
            return Math.max(0, typical.ms() - elapsedMs);
        }
        double end = residuals.medianAbove(elapsedMs / typical.ms());
        return Double.isNaN(end) ? REST_BEYOND_EVIDENCE * elapsedMs : Math.max(0, end * typical.ms() - elapsedMs);
    }

    @Override
    public double probabilityOfEnd(RunKind kind, double elapsedMs, double withinMs) {
        Typical typical = typical(kind);
        DecayingHistogram residuals = residuals(kind, typical.source());
        if (residuals == null) {
            return elapsedMs + withinMs >= typical.ms() ? 1 : 0;
        }
        double now = residuals.shareAbove(elapsedMs / typical.ms());
        if (now == 0) {
            // Half of these runs end within the expected rest.
            return 1 - Math.pow(2, -withinMs / Math.max(1, REST_BEYOND_EVIDENCE * elapsedMs));
        }
        return 1 - residuals.shareAbove((elapsedMs + withinMs) / typical.ms()) / now;
    }

    @Override
    public double confidence(RunKind kind) {
        Source source = typical(kind).source();
        PredictionErrors errors = errors(kind, source);
        if (errors == null) {
            return 0;
        }
        return errors.ends(source) / (errors.ends(source) + HALF_CONFIDENCE_ENDS) / (1 + errors.error(source));
    }

    @Override
    public String source(RunKind kind) {
        return typical(kind).source().name();
    }

    @Override
    public void onEnded(RunKind kind, double ranMs) {
        double ms = Math.max(1, ranMs);
        double[] predictedMs = typicals(kind);
        RunGroup queue = queues.computeIfAbsent(kind.queue(), ignored -> RunGroup.wide());
        for (Source source : Source.values()) {
            double predicted = predictedMs[source.ordinal()];
            if (!Double.isNaN(predicted)) {
                queue.residuals(source).record(ms / predicted);
                pool.residuals(source).record(ms / predicted);
            }
        }
        double ratio = ms / kind.estimateMs();
        pool.errors.record(predictedMs, ms);
        pool.ratios.record(ratio);
        queue.errors.record(predictedMs, ms);
        queue.ratios.record(ratio);
        if (!kind.image().isEmpty()) {
            RunGroup image = images.computeIfAbsent(kind.image(), ignored -> RunGroup.ofImage());
            image.errors.record(predictedMs, ms);
            image.ratios.record(ratio);
            image.times().record(ms);
        }
        ends++;
        steps.computeIfAbsent(kind.step(), ignored -> new SiblingRuns()).record(ms);
    }

    @Override
    public void onStopped(RunKind kind, double ranMs) {
        double ms = Math.max(1, ranMs);
        double ratio = ms / kind.estimateMs();
        double[] predictedMs = typicals(kind);
        pool.ratios.recordAtLeast(ratio);
        recordResidualsAtLeast(pool, predictedMs, ms);
        RunGroup queue = queues.get(kind.queue());
        if (queue != null) {
            queue.ratios.recordAtLeast(ratio);
            recordResidualsAtLeast(queue, predictedMs, ms);
        }
        RunGroup image = images.get(kind.image());
        if (image != null) {
            image.ratios.recordAtLeast(ratio);
            image.times().recordAtLeast(ms);
        }
    }

    private static void recordResidualsAtLeast(RunGroup group, double[] predictedMs, double ms) {
        for (Source source : Source.values()) {
            double predicted = predictedMs[source.ordinal()];
            if (!Double.isNaN(predicted) && !group.residuals(source).isEmpty()) {
                group.residuals(source).recordAtLeast(ms / predicted);
            }
        }
    }

    /** Typical run times by source; NaN where a source has no evidence. */
    private double[] typicals(RunKind kind) {
        double[] ms = new double[Source.COUNT];
        Arrays.fill(ms, Double.NaN);
        ms[Source.ESTIMATE.ordinal()] = kind.estimateMs();
        double wider = kind.estimateMs();
        if (!pool.ratios.isEmpty()) {
            wider = shrunk(pool.ratios.median() * kind.estimateMs(), pool.ratios.weight(), WIDER_WEIGHT, wider);
            ms[Source.POOL.ordinal()] = wider;
        }
        RunGroup queue = queues.get(kind.queue());
        if (queue != null && !queue.ratios.isEmpty()) {
            wider = shrunk(queue.ratios.median() * kind.estimateMs(), queue.ratios.weight(), WIDER_WEIGHT, wider);
            ms[Source.QUEUE.ordinal()] = wider;
        }
        RunGroup image = images.get(kind.image());
        if (image != null && !image.ratios.isEmpty()) {
            double weight = image.ratios.weight();
            ms[Source.IMAGE_RATIO.ordinal()] =
                    shrunk(image.ratios.median() * kind.estimateMs(), weight, WIDER_WEIGHT, wider);
            ms[Source.IMAGE_TIME.ordinal()] = shrunk(image.times().median(), weight, WIDER_WEIGHT, wider);
        }
        SiblingRuns siblings = steps.get(kind.step());
        if (siblings != null) {
            double best = typical(kind, ms).ms();
            ms[Source.SIBLINGS.ordinal()] =
                    shrunk(siblings.medianMs(), siblings.count(), WIDER_WEIGHT_BESIDE_SIBLINGS, best);
        }
        return ms;
    }

    private static double shrunk(double ms, double ends, double widerWeight, double widerMs) {
        double wider = widerWeight / (ends * ends + widerWeight);
        return ms * Math.pow(widerMs / ms, wider);
    }

    /** Typical run time; a prediction for the step is used again until some more runs have ended. */
    private Typical typical(RunKind kind) {
        SiblingRuns siblings = steps.get(kind.step());
        int ended = siblings == null ? 0 : siblings.recorded();
        Cached known = cached.get(kind.step());
        long maxMissedEnds = Math.min(MAX_MISSED_ENDS, (long) (MAX_MISSED_SHARE * ends));
        if (known != null && known.siblings() == ended && ends - known.ends() <= maxMissedEnds) {
            return known.typical();
        }
        Typical typical = typical(kind, typicals(kind));
        cached.put(kind.step(), new Cached(typical, ended, ends));
        return typical;
    }

    /** Chooses the source whose errors are the smallest relative to those of the estimate. */
    private Typical typical(RunKind kind, double[] typicalMs) {
        Source best = Source.ESTIMATE;
        double least = MAX_RELATIVE_ERROR;
        for (Source source : Source.values()) {
            if (source == Source.ESTIMATE || Double.isNaN(typicalMs[source.ordinal()])) {
                continue;
            }
            PredictionErrors errors = errors(kind, source);
            if (errors != null && errors.relative(source) < least) {
                least = errors.relative(source);
                best = source;
            }
        }
        return new Typical(typicalMs[best.ordinal()], best);
    }

    /** Errors of a source in the narrowest group that has enough ends. */
    private @Nullable PredictionErrors errors(RunKind kind, Source source) {
        RunGroup image = images.get(kind.image());
        if (image != null && image.errors.isComparable(source)) {
            return image.errors;
        }
        RunGroup queue = queues.get(kind.queue());
        if (queue != null && queue.errors.isComparable(source)) {
            return queue.errors;
        }
        return pool.errors.isComparable(source) ? pool.errors : null;
    }

    private @Nullable DecayingHistogram residuals(RunKind kind, Source source) {
        RunGroup queue = queues.get(kind.queue());
        if (queue != null && queue.residuals(source).weight() >= MIN_RESIDUALS) {
            return queue.residuals(source);
        }
        DecayingHistogram wide = pool.residuals(source);
        return wide.weight() >= PredictionErrors.MIN_ENDS ? wide : null;
    }

    @Override
    public long ends() {
        return ends;
    }

    @Override
    public Map<String, Double> errorByQueue() {
        Map<String, Double> errors = new HashMap<>();
        queues.forEach((queue, group) -> errors.put(queue, group.errors.error(leastError(group.errors))));
        return errors;
    }

    private static Source leastError(PredictionErrors errors) {
        Source best = Source.ESTIMATE;
        for (Source source : Source.values()) {
            if (errors.isComparable(source) && errors.error(source) < errors.error(best)) {
                best = source;
            }
        }
        return best;
    }

    /** Approximate memory of the evidence in bytes. */
    long footprintBytes() {
        long sum = pool.footprintBytes() + (long) Math.max(steps.size(), cached.size()) * SiblingRuns.FOOTPRINT_BYTES;
        for (RunGroup group : images.values()) {
            sum += group.footprintBytes();
        }
        for (RunGroup group : queues.values()) {
            sum += group.footprintBytes();
        }
        return sum;
    }

    /** Returns the evidence of the pool and the most recently used images and queues; siblings are not kept. */
    @Override
    public Optional<RunTimeEvidence> evidence(int maxGroups) {
        return Optional.of(new RunTimeEvidence(
                RunTimeEvidence.VERSION,
                latest(images, maxGroups),
                latest(queues, maxGroups),
                RunTimeEvidence.of(pool)));
    }

    private static Map<String, RunTimeEvidence.Group> latest(Map<String, RunGroup> groups, int maxGroups) {
        Map<String, RunTimeEvidence.Group> latest = new LinkedHashMap<>();
        groups.entrySet().stream()
                .skip(Math.max(0, groups.size() - maxGroups))
                .forEach(entry -> latest.put(entry.getKey(), RunTimeEvidence.of(entry.getValue())));
        return latest;
    }

    /** Adopts evidence of an earlier owner, except for groups of which this predictor has learned something itself. */
    @Override
    public void restore(RunTimeEvidence evidence) {
        evidence.images().forEach((name, part) -> {
            RunGroup group = RunGroup.ofImage();
            part.copyTo(group);
            images.putIfAbsent(name, group);
        });
        evidence.queues().forEach((name, part) -> {
            RunGroup group = RunGroup.wide();
            part.copyTo(group);
            queues.putIfAbsent(name, group);
        });
        if (pool.ratios.isEmpty()) {
            evidence.pool().copyTo(pool);
        }
    }
}
