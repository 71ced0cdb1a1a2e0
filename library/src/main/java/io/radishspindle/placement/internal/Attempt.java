package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import org.jspecify.annotations.Nullable;

/**
 * A live attempt and what is charged for it. An attempt without a job is one that a worker reported and that belongs to
 * no known task. Not thread-safe.
 */
final class Attempt {
    final TaskAttempt id;
    final @Nullable JobState job;
    final WorkerState worker;
    final long startedAtMs;
    /** Rack of the worker when the attempt was charged; the worker may be claimed again from another one. */
    final String rack;

    Resources charged;

    @Nullable
    StopReason stopReason;

    boolean stopSent;
    Resources peak = Resources.NONE;
    /** Milli-cores that a throttled attempt lacks; 0 if it is not throttled. */
    long missingMilliCores;

    Attempt(TaskAttempt id, @Nullable JobState job, WorkerState worker, Resources charged, long startedAtMs) {
        this.id = id;
        this.job = job;
        this.worker = worker;
        this.rack = worker.info.rack();
        this.charged = charged;
        this.startedAtMs = startedAtMs;
    }

    boolean isStopping() {
        return stopReason != null;
    }
}
