package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;

/** Measures work in milliseconds of one core. Stateless; thread-safe. */
final class Work {
    /** An accelerator does the work of this many cores. */
    private static final int CORES_PER_ACCELERATOR = 8;

    /** Time that a run takes to resume from a checkpoint, in milliseconds. */
    private static final long RESTORE_MS = 250;

    /** Time that a preempted run with checkpoints loses, in milliseconds; a wait up to this costs less than a stop. */
    static final long STOP_AND_RESTORE_MS = ExpectedEnds.STOP_MS + RESTORE_MS;

    private Work() {}

    /** Number of cores that do as much work as the resources. */
    static double cores(Resources resources) {
        return resources.milliCores() / 1_000.0 + CORES_PER_ACCELERATOR * resources.accelerators();
    }

    /**
     * Work lost if the run is stopped now: a run with checkpoints saves its progress at the stop, so that its resources
     * are lost only while it stops and resumes; any other run starts again.
     */
    static double lostByStop(RunState run, StepState step, long nowMs) {
        long lostMs = step.spec.checkpoint() ? STOP_AND_RESTORE_MS : nowMs - run.sentAtMs;
        return cores(run.reserved) * lostMs;
    }
}
