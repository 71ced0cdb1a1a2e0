package io.radishspindle.ownership;

import io.radishspindle.settings.EntrySettings;

/**
 * Times of the ownership protocol in milliseconds. Immutable and thread-safe.
 *
 * @param takeoverOpenMs how long tasks of unknown state wait after a takeover without all workers, counted from the
 *     moment when a majority was claimed: the old owner may renew a missing worker until its authority lapses (one
 *     control lease), a message in flight counts for another, then the run lease must lapse
 * @param lostAfterMs how long tasks of an unreachable worker stay open, counted from the last time that the owner may
 *     have echoed to it
 * @param maxUnjournalled bound of finishes that are not yet in the journal; starts stop above it
 * @param caretakerNeedsMajority always true in production; tests turn it off to show what it prevents
 */
public record OwnershipTiming(
        long heartbeatMs,
        long controlLeaseMs,
        long runLeaseMs,
        long startGraceMs,
        long takeoverOpenMs,
        long lostAfterMs,
        int maxUnjournalled,
        boolean caretakerNeedsMajority) {
    private static final int MAX_UNJOURNALLED = 10_000;

    /** Finishes alone wait this long for company before they are written. */
    static final long FINISH_COMMIT_MS = 200;

    /** Acceptances and cancellations wait this long for company. */
    static final long URGENT_COMMIT_MS = 20;

    /** An owner that is live but has announced for this long that it may not start tasks is replaced. */
    static final long UNREADY_TAKEOVER_MS = 10_000;

    /** A lost worker stays in the ownership record for this long, so that a reboot does not change the record. */
    static final long KEEP_LOST_WORKER_MS = 30_000;

    /** A submission whose journal write is undecided is answered as unknown after this time. */
    static final long SUBMIT_TIMEOUT_MS = 10_000;

    /** Pause between repeated reads of a record, and between attempts to take over. */
    static final long RETRY_MS = 250;

    /** A VM whose ownership was taken by a peer waits this long, doubled each time, before it takes the group again. */
    static final long MIN_HOLD_OFF_MS = 5_000;

    static final long MAX_HOLD_OFF_MS = 40_000;

    /** How often a VM reads the records of groups that it does not own, so that it can become caretaker. */
    static final long RECORD_REFRESH_MS = 10_000;

    public static OwnershipTiming of(EntrySettings settings) {
        EntrySettings.Ownership own = settings.ownership();
        long lost = own.runLeaseMs() + own.controlLeaseMs() + own.marginMs();
        return new OwnershipTiming(
                own.heartbeatMs(),
                own.controlLeaseMs(),
                own.runLeaseMs(),
                settings.peers().suspectAfterMs(),
                own.controlLeaseMs() + lost,
                lost,
                MAX_UNJOURNALLED,
                true);
    }
}
