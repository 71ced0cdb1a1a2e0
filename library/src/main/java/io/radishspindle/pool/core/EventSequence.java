package io.radishspindle.pool.core;

/**
 * Numbers the calls to one worker and the answers from it in the order in which the owner sends and receives them. The
 * clock can't tell this order, as several of them may fall into one millisecond. Belongs to its worker; not
 * thread-safe.
 *
 * <p>Invariant: of two events, the earlier one has the lower number.
 */
final class EventSequence {
    /** Lower than the number of every event. */
    static final long BEFORE_ALL = 0;
    /** Higher than the number of every event. */
    static final long NEVER = Long.MAX_VALUE;

    private long last = BEFORE_ALL;

    /** Returns the number of an event that happens now. */
    long next() {
        return ++last;
    }
}
