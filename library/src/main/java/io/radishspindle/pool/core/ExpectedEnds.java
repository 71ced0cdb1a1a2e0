package io.radishspindle.pool.core;

/** Predicts when runs end and when stopped runs free their resources. Used for one pass; not thread-safe. */
final class ExpectedEnds {
    /** Time that is never reached, for runs that last. */
    static final long NEVER = Long.MAX_VALUE;

    /** Longest time from a stop order until the resources of the run are free, in milliseconds. */
    static final long STOP_MS = 900;

    private final DurationStats durations;
    private final long nowMs;

    ExpectedEnds(DurationStats durations, long nowMs) {
        this.durations = durations;
        this.nowMs = nowMs;
    }

    /** Expected run time of a task of the step, in milliseconds; {@link #NEVER} for a lasting task. */
    long runMs(StepState step) {
        return step.spec.lasting() ? NEVER : durations.expectedMs(step);
    }

    /** Expected end of a task of the step that starts now. */
    long endOfStartMs(StepState step) {
        return step.spec.lasting() ? NEVER : nowMs + runMs(step);
    }

    /** Expected end of a run; {@link #NEVER} for a lasting task. */
    long endMs(RunState run) {
        if (run.phase == RunState.Phase.STOPPING) {
            return Math.max(nowMs, run.stopSentAtMs + STOP_MS);
        }
        if (run.task == null) {
            return nowMs + STOP_MS;
        }
        if (run.task.step.spec.lasting()) {
            return NEVER;
        }
        return durations.expectedEndMs(run, run.task.step, nowMs);
    }
}
