package io.radishspindle.pool.core;

/**
 * How many tasks are started on a worker at once while workers crash under tasks that they have just started: each of
 * them is a suspect if the worker crashes too. Immutable and thread-safe.
 *
 * <p>Invariant: a step that has waited for {@link #MAX_WAIT_MS} is kept from a worker only by
 * {@link #STEPS_AFTER_WAITING} others or more.
 *
 * @param steps steps with a task on the worker that has not survived its start
 * @param byReport whether only a report shows that a task has survived its start, as workers have crashed silently
 * @param proofMs age from which on a run counts as having survived its start, in milliseconds
 */
record Caution(int steps, boolean byReport, long proofMs) {
    static final Caution NONE = new Caution(Integer.MAX_VALUE, false, PoolTiming.START_PROOF_MS);
    private static final int STEPS_AFTER_ONE_CRASH = 3;
    private static final int STEPS_AFTER_SEVERAL = 1;
    private static final int STEPS_AFTER_WAITING = 2;
    private static final long MAX_WAIT_MS = 1_500;

    /**
     * @param crashes number of times that workers have crashed lately
     * @param proofMs age from which on a run counts as having survived its start, in milliseconds
     */
    static Caution after(int crashes, boolean silent, long proofMs) {
        if (crashes == 0 && !silent) {
            return NONE;
        }
        return new Caution(crashes == 1 && !silent ? STEPS_AFTER_ONE_CRASH : STEPS_AFTER_SEVERAL, silent, proofMs);
    }

    boolean isNeeded() {
        return steps != Integer.MAX_VALUE;
    }

    /** Whether a run has survived its start, as far as that keeps others from its worker. */
    boolean hasSurvivedStart(RunState run, long nowMs) {
        return byReport ? run.survivalReported : run.hasSurvivedStart(nowMs, proofMs);
    }

    /** Number of unproven steps that keep a step from a worker once it has waited for some time. */
    int maxUnprovenSteps(long waitedMs) {
        boolean isShort = proofMs < PoolTiming.START_PROOF_MS && !byReport;
        return isShort || waitedMs < MAX_WAIT_MS ? steps : Math.max(steps, STEPS_AFTER_WAITING);
    }
}
