package io.radishspindle.pool.core;

import io.radishspindle.pool.model.WorkerReport;

/**
 * Orders the reports of one worker. Several holds may be under way at once, each may be delayed on its way to the
 * worker and back, and so neither the order of sending nor that of arrival tells which report was made first. Belongs
 * to its worker; not thread-safe.
 *
 * <p>Invariant: a report to a hold that was sent after the last applied one had arrived is newer than that; any other
 * is placed by the worker's clock, which only reports of one incarnation share.
 */
final class ReportSequence {
    /** Number of the event by which the last report was applied. */
    private long appliedNumber = EventSequence.BEFORE_ALL;
    /** The clock in the newest report, and the number of its hold. */
    private long clockMs;

    private long holdNumber;

    ReportOrder place(SentHold hold, WorkerReport report, boolean sameIncarnation) {
        if (isAfterLast(hold)) {
            return ReportOrder.NEWEST;
        }
        if (!sameIncarnation) {
            return ReportOrder.OTHER_INCARNATION;
        }
        boolean older = report.clockMs() < clockMs || (report.clockMs() == clockMs && hold.number() < holdNumber);
        return older ? ReportOrder.OLDER : ReportOrder.NEWEST;
    }

    /** Whether the hold was sent after the last report was applied. */
    boolean isAfterLast(SentHold hold) {
        return hold.number() > appliedNumber;
    }

    /** The newest report was applied, as the event of a certain number. */
    void onApplied(SentHold hold, WorkerReport report, long number) {
        appliedNumber = number;
        clockMs = report.clockMs();
        holdNumber = hold.number();
    }

    /** Another worker has answered, so that earlier holds tell nothing of the present one. */
    void onReplaced(long number) {
        appliedNumber = number;
    }
}
