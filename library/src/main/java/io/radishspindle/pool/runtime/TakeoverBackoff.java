package io.radishspindle.pool.runtime;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides how long the owner of a pool may leave pings unanswered, from how often the pool has changed hands lately: a
 * new owner loads the jobs and polls all workers, which makes it slow, and a claim over it would only make the next
 * owner slow. Confined to one event loop.
 */
final class TakeoverBackoff {
    /** Silence for which an established owner is superseded, in milliseconds; shorter pauses occur on a busy VM. */
    static final long MIN_SILENCE_MS = 900;
    /**
     * The silence doubles with each recent claim, up to 3.6 s. Leases of runs are renewed at least 4.3 s before their
     * expiry, so that the owner that replaces a hung one has time to renew them. The death of a VM is not found by
     * silence then, but by the expiry of its lease after 2 s.
     */
    private static final int MAX_DOUBLINGS = 2;
    /** Age up to which a claim counts, in milliseconds: a new owner has loaded and recovered its pool by then. */
    private static final long RECENT_MS = 10_000;

    /** Revision of the last claim that was observed, by pool; 0 for a pool without an owner. */
    private final Map<String, Long> lastClaims = new HashMap<>();

    private final Map<String, Deque<Long>> claimTimesMs = new HashMap<>();

    /**
     * Records the claim in force. The first one that is observed may be old and does not count as recent.
     *
     * @param revision revision of the claim, or 0 if the pool has no owner
     */
    void observe(String pool, long revision, long nowMs) {
        Long last = lastClaims.put(pool, revision);
        if (last != null && last != revision && revision != 0) {
            recent(pool, nowMs).add(nowMs);
        }
    }

    /** Silence after which the owner of the pool is superseded, in milliseconds. */
    long silenceMs(String pool, long nowMs) {
        return MIN_SILENCE_MS << Math.min(MAX_DOUBLINGS, recent(pool, nowMs).size());
    }

    private Deque<Long> recent(String pool, long nowMs) {
        Deque<Long> times = claimTimesMs.computeIfAbsent(pool, ignored -> new ArrayDeque<>());
        times.removeIf(atMs -> nowMs - atMs >= RECENT_MS);
        return times;
    }
}
