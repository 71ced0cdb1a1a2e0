package io.radishspindle.routing;

/**
 * Time between two requests that leave the queue of one class, as a moving average over the current backlog. Not
 * thread-safe.
 *
 * <p>It reflects effects that the length of the queue doesn't show: lost slots, and higher classes that keep arriving.
 */
final class DepartureInterval {
    private static final double GAIN = 0.1;
    /** Requests of a backlog that must have left before the average is used. */
    private static final int MIN_SAMPLES = 5;

    private double intervalMs;
    private int samples;
    private long lastAtMs;

    /** Starts a new backlog and discards the samples of the last one, which no longer apply. */
    void startBacklog(long nowMs) {
        samples = 0;
        lastAtMs = nowMs;
    }

    void onDeparture(long nowMs) {
        samples++;
        double gain = Math.max(GAIN, 1.0 / samples);
        intervalMs += gain * (nowMs - lastAtMs - intervalMs);
        lastAtMs = nowMs;
    }

    /**
     * Expected time until {@code requests} requests of the class have left the queue, in milliseconds; 0 if unknown.
     */
    double timeToDepartMs(int requests) {
        return samples < MIN_SAMPLES ? 0 : requests * intervalMs;
    }
}
