package io.radishspindle.pool.core;

/** The place of a report among those of its worker, which may arrive in another order than they were made. */
public enum ReportOrder {
    /** No applied report is newer. */
    NEWEST,
    /** A newer report was applied; ends in this one may be new all the same. */
    OLDER,
    /** The report may be of an incarnation that has ended, so that nothing in it is applied. */
    OTHER_INCARNATION
}
