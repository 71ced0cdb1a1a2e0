package io.radishspindle.pool.core;

/** A number of equal channels. Not thread-safe. */
final class LimitedChannels implements AdviceChannels {
    private final int total;
    private int left;

    LimitedChannels(int left, int total) {
        this.left = left;
        this.total = total;
    }

    @Override
    public boolean tryAcquire(long expectedMs) {
        if (left <= 0) {
            return false;
        }
        left--;
        return true;
    }

    @Override
    public boolean arePlentiful() {
        return 2 * left > total;
    }
}
