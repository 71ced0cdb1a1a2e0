package io.radishspindle.pool.core;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;

/**
 * How long after the start of a task its worker crashes, learned from crashes whose suspects were started together.
 * Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: the bound exceeds each kept delay, and is at most {@link PoolTiming#START_PROOF_MS}.
 */
final class CrashDelays {
    /** Delays from which on the bound is learned; two could be coincidences. */
    private static final int MIN_KEPT = 3;

    private static final int MAX_KEPT = 16;
    /** Time after which a crash is noticed at the latest, in milliseconds: the next hold may not have been sent yet. */
    private static final long NOTICE_MS = PoolTiming.ACK_RETRY_MS;

    private final Deque<Long> delaysMs = new ArrayDeque<>();

    void add(long delayMs) {
        delaysMs.addLast(delayMs);
        if (delaysMs.size() > MAX_KEPT) {
            delaysMs.removeFirst();
        }
    }

    /** Whether a run of this age may have taken down its worker by its start. */
    boolean agreesWith(long ageMs) {
        // A run looks younger than it is if its acceptance was noticed late.
        return delaysMs.size() < MIN_KEPT || ageMs <= boundMs();
    }

    /** Age in milliseconds from which on a run is not expected to crash its worker by its start. */
    long boundMs() {
        if (delaysMs.size() < MIN_KEPT) {
            return PoolTiming.START_PROOF_MS;
        }
        return Math.min(PoolTiming.START_PROOF_MS, Collections.max(delaysMs) + NOTICE_MS);
    }
}
