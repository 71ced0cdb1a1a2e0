package io.radishspindle.pool.core;

/**
 * Judges a worker by the ends of its tasks: failures suspend it, and a single task tests it afterwards. Belongs to
 * its scheduler; not thread-safe.
 */
final class WorkerHealth {
    /** Weight of the newest end in the moving averages. */
    private static final double WEIGHT = 0.25;
    /** Above this failure rate a worker is suspended; declared failures of tasks stay around 0.1. */
    private static final double FAILURE_LIMIT = 0.45;
    /** A worker this much slower than others on the same images is avoided. */
    private static final double SLOW_LIMIT = 2.2;

    private double failureRate;
    private double slowness = 1.0;
    private long suspendedUntilMs = Long.MIN_VALUE;
    private boolean probation;

    void succeeded(double relativeDuration) {
        failureRate *= 1 - WEIGHT;
        slowness += WEIGHT * (Math.min(relativeDuration, 2 * SLOW_LIMIT) - slowness);
        probation = false;
    }

    void failed(long nowMs) {
        failureRate += WEIGHT * (1 - failureRate);
        if (failureRate > FAILURE_LIMIT || probation) {
            suspend(nowMs);
        }
    }

    /** The worker rejects or stalls what it is told; a single task tests it after the pause. */
    void suspend(long nowMs) {
        suspendedUntilMs = nowMs + PoolTiming.SUSPEND_MS;
        probation = true;
    }

    boolean isSuspended(long nowMs) {
        return nowMs < suspendedUntilMs;
    }

    boolean isOnProbation() {
        return probation;
    }

    boolean isSlow() {
        return slowness > SLOW_LIMIT;
    }

    double slowness() {
        return slowness;
    }
}
