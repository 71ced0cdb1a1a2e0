package io.radishspindle.idempotency;

/** Runs tasks later, on the event loop of the caller. Tests use virtual time instead. */
interface Timers {
    void after(long delayMs, Runnable task);
}
