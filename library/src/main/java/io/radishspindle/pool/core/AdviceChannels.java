package io.radishspindle.pool.core;

/** Calls for advice that an owner may make now. Lives for one scheduling pass; not thread-safe. */
public interface AdviceChannels {
    /** Takes a channel for a call of the expected length in milliseconds; false if none is free for it. */
    boolean tryAcquire(long expectedMs);

    /** Whether so many channels are free that a call need not be likely to be of use. */
    boolean arePlentiful();
}
