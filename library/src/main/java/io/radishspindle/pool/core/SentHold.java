package io.radishspindle.pool.core;

import io.radishspindle.pool.port.WorkerControl.HoldOrder;

/**
 * A hold that is sent to a worker. Immutable and thread-safe.
 *
 * @param sentAtMs when it was sent, on the owner's clock
 * @param number its place among the calls to the worker and the answers from it; its report shows the effect of every
 *     order that was answered before
 */
public record SentHold(HoldOrder order, long sentAtMs, long number) {}
