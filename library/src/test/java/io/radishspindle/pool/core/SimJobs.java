package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Factory of jobs and steps for tests. Stateless; thread-safe. */
final class SimJobs {
    private SimJobs() {}

    /** The step with an image, whose name is used to look up its run time. */
    static StepSpec withImage(StepSpec step, String image) {
        return with(step, step.label(), image);
    }

    /** The step for workers with a label. */
    static StepSpec withLabel(StepSpec step, String label) {
        return with(step, label, step.image());
    }

    private static StepSpec with(StepSpec step, String label, String image) {
        return new StepSpec(
                step.count(),
                step.perTask(),
                step.estimateMs(),
                step.after(),
                false,
                step.gang(),
                step.sameRack(),
                label,
                step.rack(),
                step.maxPerWorker(),
                step.speculative(),
                step.lasting(),
                image,
                step.targetMs(),
                step.fills(),
                step.maxUnavailable());
    }

    static StepSpec step(int count, long milliCores, int accelerators, long estimateMs, Integer... after) {
        return createStep(
                count, new Resources(milliCores, 100, accelerators), estimateMs, List.of(after), false, 0, false);
    }

    static StepSpec gang(int count, long milliCores, int accelerators, long estimateMs) {
        return createStep(count, new Resources(milliCores, 100, accelerators), estimateMs, List.of(), true, 0, false);
    }

    /** Creates a step with checkpoints; a gang if {@code gang} is set. */
    static StepSpec sized(int count, Resources perTask, boolean gang, long estimateMs) {
        return createStep(count, perTask, estimateMs, List.of(), gang, 0, false);
    }

    /** Creates a step of lasting tasks, at most {@code maxPerWorker} on a worker unless that is 0. */
    static StepSpec lasting(int count, Resources perTask, int maxPerWorker) {
        return new StepSpec(
                count,
                perTask,
                400,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                maxPerWorker,
                false,
                true,
                "",
                0,
                false,
                0);
    }

    static StepSpec serving(int count, long milliCores) {
        return createStep(count, new Resources(milliCores, 100, 0), 400, List.of(), false, 50, false);
    }

    static StepSpec filling(int count, long milliCores, long estimateMs) {
        return createStep(count, new Resources(milliCores, 100, 0), estimateMs, List.of(), false, 0, true);
    }

    /** Creates a step: lasting if it has a response-time target, otherwise with checkpoints. */
    private static StepSpec createStep(
            int count,
            Resources perTask,
            long estimateMs,
            List<Integer> after,
            boolean gang,
            long targetMs,
            boolean fills) {
        boolean lasting = targetMs > 0;
        int maxUnavailable = lasting ? 1 : 0;
        return new StepSpec(
                count,
                perTask,
                estimateMs,
                after,
                !lasting,
                gang,
                false,
                "",
                "",
                0,
                false,
                lasting,
                "",
                targetMs,
                fills,
                maxUnavailable);
    }

    static PoolJob job(String id, int priority, long acceptedMs, StepSpec... steps) {
        return new PoolJob(
                id,
                "q" + priority,
                "pool",
                "payload",
                List.of(steps),
                1,
                0,
                0,
                acceptedMs,
                priority,
                3,
                2,
                400,
                null,
                null,
                "h/q" + priority);
    }

    static PoolJob ofTenant(@Nullable String tenant, PoolJob job) {
        return new PoolJob(
                job.id(),
                job.queue(),
                job.pool(),
                job.payload(),
                job.steps(),
                job.occurrences(),
                job.firstStartWallMs(),
                job.periodMs(),
                job.acceptedWallMs(),
                job.priority(),
                job.maxAttempts(),
                job.slowdownFactor(),
                job.objectiveMs(),
                job.advice(),
                tenant,
                job.address());
    }

    static PoolJob advised(String id, int priority, long acceptedMs, AdvicePolicy advice, StepSpec... steps) {
        return new PoolJob(
                id,
                "q" + priority,
                "pool",
                "payload",
                List.of(steps),
                1,
                0,
                0,
                acceptedMs,
                priority,
                3,
                2,
                400,
                advice,
                null,
                "h/q" + priority);
    }
}
