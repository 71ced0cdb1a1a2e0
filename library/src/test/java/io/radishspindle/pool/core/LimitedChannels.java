package io.radishspindle.pool.core;

/** A fixed number of channels that accept calls of any duration. Not thread-safe. */
final class LimitedChannels implements AdviceChannels {
    private final int total;
    private int available;

    LimitedChannels(int available, int total) {
        this.available = available;
        this.total = total;
    }

    @Override
    public boolean tryAcquire(long expectedMs) {
        if (available <= 0) {
            return false;
        }
        available--;
        return true;
    }

    @Override
    public boolean arePlentiful() {
        return 2 * available > total;
    }
}
