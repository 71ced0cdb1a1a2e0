package io.radishspindle.pool.core;

/** Limits the concurrent calls to the advice service. Used for one scheduling pass; not thread-safe. */
public interface AdviceChannels {
    /** Acquires a channel for a call of the expected duration in milliseconds; false if none is available. */
    boolean tryAcquire(long expectedMs);

    /** Returns whether enough channels are free for calls whose tickets may expire unused. */
    boolean arePlentiful();
}
