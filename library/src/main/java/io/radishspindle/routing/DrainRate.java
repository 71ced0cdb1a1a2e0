package io.radishspindle.routing;

/**
 * Time between two requests that leave the queue of one class, as a moving average over the current backlog. Not
 * thread-safe.
 *
 * <p>It covers what the queue can't see: slots that are lost, and higher classes that keep arriving.
 */
final class DrainRate {
    private static final double GAIN = 0.1;
    /** Requests of a backlog that must have left before the average is used. */
    private static final int MIN_SAMPLES = 5;

    private double intervalMs;
    private int samples;
    private long lastAtMs;

    /** A backlog begins; what was learnt from the last one no longer holds. */
    void begin(long nowMs) {
        samples = 0;
        lastAtMs = nowMs;
    }

    void left(long nowMs) {
        samples++;
        double gain = Math.max(GAIN, 1.0 / samples);
        intervalMs += gain * (nowMs - lastAtMs - intervalMs);
        lastAtMs = nowMs;
    }

    /** Expected time until so many requests of the class have left, in milliseconds; 0 if unknown. */
    double timeToLeaveMs(int requests) {
        return samples < MIN_SAMPLES ? 0 : requests * intervalMs;
    }
}
