package io.radishspindle.pool.core;

import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * The trial on one worker, which is closed to other starts meanwhile. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: once trials have kept a worker closed for {@link #MAX_CLOSED_MS}, no further one is planned there until
 * it has been open for {@link #MIN_OPEN_MS}.
 */
final class WorkerTrial {
    /** Time after which no more trials are planned on a worker that has been closed all the while, in milliseconds. */
    static final long MAX_CLOSED_MS = 1_000;
    /** Time for which such a worker is open to other tasks, in milliseconds: some scheduling passes. */
    static final long MIN_OPEN_MS = 100;

    private @Nullable CrashRecord suspect;
    /** Since when the worker has been closed without a pass in which it was open; -1 if it is open. */
    private long closedSinceMs = -1;

    private long openUntilMs = Long.MIN_VALUE;

    boolean isEmpty() {
        return suspect == null;
    }

    void begin(CrashRecord record, long nowMs) {
        suspect = record;
        closedSinceMs = closedSinceMs < 0 ? nowMs : closedSinceMs;
    }

    /** Ends the trial if it is over; called before each pass. */
    void end(Predicate<CrashRecord> isOver, long nowMs) {
        if (suspect == null) {
            closedSinceMs = -1;
        } else if (isOver.test(suspect)) {
            suspect = null;
            if (isClosedForLong(nowMs)) {
                closedSinceMs = -1;
                openUntilMs = nowMs + MIN_OPEN_MS;
            }
        }
    }

    /** Whether a trial may be planned at all. */
    boolean admitPlans(long nowMs) {
        return nowMs >= openUntilMs && !isClosedForLong(nowMs);
    }

    private boolean isClosedForLong(long nowMs) {
        return closedSinceMs >= 0 && nowMs - closedSinceMs >= MAX_CLOSED_MS;
    }

    /**
     * Whether the worker is closed to a task.
     *
     * @param record of the suspect whose trial would start; null for another start
     */
    boolean exclude(@Nullable CrashRecord record) {
        return suspect != null && suspect != record;
    }
}
