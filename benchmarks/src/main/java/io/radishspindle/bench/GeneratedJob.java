package io.radishspindle.bench;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import java.util.List;

/**
 * A job with what only the workers learn. Immutable and thread-safe.
 *
 * @param runMs true run time of each task in milliseconds; {@link Long#MAX_VALUE} for services
 * @param used true usage of each task
 * @param faulty every attempt fails
 */
record GeneratedJob(JobSpec spec, long arriveAtMs, List<Long> runMs, Resources used, boolean faulty) {
    /** What a task needs in truth: its declared size, or its usage where that is higher. */
    Resources needed() {
        Resources declared = spec.perTask();
        return new Resources(
                Math.max(declared.milliCores(), used.milliCores()),
                Math.max(declared.memoryMib(), used.memoryMib()),
                declared.accelerators());
    }
}
