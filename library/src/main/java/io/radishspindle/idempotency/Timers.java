package io.radishspindle.idempotency;

/** Runs tasks later, on the event loop of the caller. Tests replace it by virtual time. */
interface Timers {
    void after(long delayMs, Runnable task);
}
