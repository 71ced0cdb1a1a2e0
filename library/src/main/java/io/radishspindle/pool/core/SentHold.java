package io.radishspindle.pool.core;

import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import org.jspecify.annotations.Nullable;

/**
 * A hold that is sent to a worker. Immutable and thread-safe.
 *
 * @param polled the registration to whose address it is sent; null if the worker isn't known any more
 * @param sentAtMs when it was sent, on the owner's clock
 * @param dueMs time by which it is answered, unless the worker or the path to it is disturbed
 * @param relevantUntilMs time after which its answer can't change what the owner does; at least {@code dueMs}
 * @param number its place among the calls to the worker and the answers from it; its report shows the effect of every
 *     order that was answered before
 */
public record SentHold(
        @Nullable WorkerEntry polled, HoldOrder order, long sentAtMs, long dueMs, long relevantUntilMs, long number) {}
