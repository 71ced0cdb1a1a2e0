package io.radishspindle.routing;

/** Counters of a {@link RoutingCore} since its start. Belongs to the core's event loop; not thread-safe. */
public final class RoutingStats {
    long sent;
    long forwarded;
    long delivered;
    long retries;
    long busy;
    long unreachable;
    long refusedNotRun;
    long refusedUnknown;
    long abandoned;
    long unexpectedAnswers;
    long missedProbes;

    void refused(boolean notRun) {
        if (notRun) {
            refusedNotRun++;
        } else {
            refusedUnknown++;
        }
    }

    /** Requests sent to executors, retries included. */
    public long sent() {
        return sent;
    }

    public long forwarded() {
        return forwarded;
    }

    public long delivered() {
        return delivered;
    }

    public long retries() {
        return retries;
    }

    /** "Busy" answers of executors. */
    public long busy() {
        return busy;
    }

    /** Attempts that never reached an executor. */
    public long unreachable() {
        return unreachable;
    }

    public long refusedNotRun() {
        return refusedNotRun;
    }

    /** Failures with unknown outcome. */
    public long refusedUnknown() {
        return refusedUnknown;
    }

    public long abandoned() {
        return abandoned;
    }

    /** Answers that belonged to no open attempt and were dropped. */
    public long unexpectedAnswers() {
        return unexpectedAnswers;
    }

    public long missedProbes() {
        return missedProbes;
    }
}
