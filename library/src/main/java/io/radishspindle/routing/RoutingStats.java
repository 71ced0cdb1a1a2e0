package io.radishspindle.routing;

import java.util.concurrent.atomic.LongAdder;

/** Counters of a {@link RoutingCore} since its start. Written by the core's event loop, readable by any thread. */
public final class RoutingStats {
    final LongAdder sent = new LongAdder();
    final LongAdder forwarded = new LongAdder();
    final LongAdder delivered = new LongAdder();
    final LongAdder retries = new LongAdder();
    final LongAdder busy = new LongAdder();
    final LongAdder unreachable = new LongAdder();
    final LongAdder refusedNotRun = new LongAdder();
    final LongAdder refusedUnknown = new LongAdder();
    final LongAdder abandoned = new LongAdder();
    final LongAdder unexpectedAnswers = new LongAdder();
    final LongAdder missedProbes = new LongAdder();
    final LongAdder ejections = new LongAdder();

    void refused(boolean notRun) {
        if (notRun) {
            refusedNotRun.increment();
        } else {
            refusedUnknown.increment();
        }
    }

    /** Requests sent to executors, retries included. */
    public long sent() {
        return sent.sum();
    }

    public long forwarded() {
        return forwarded.sum();
    }

    public long delivered() {
        return delivered.sum();
    }

    public long retries() {
        return retries.sum();
    }

    /** "Busy" answers of executors. */
    public long busy() {
        return busy.sum();
    }

    /** Attempts that never reached an executor. */
    public long unreachable() {
        return unreachable.sum();
    }

    public long refusedNotRun() {
        return refusedNotRun.sum();
    }

    /** Failures with unknown outcome. */
    public long refusedUnknown() {
        return refusedUnknown.sum();
    }

    public long abandoned() {
        return abandoned.sum();
    }

    /** Answers that belonged to no attempt in flight and were dropped. */
    public long unexpectedAnswers() {
        return unexpectedAnswers.sum();
    }

    public long missedProbes() {
        return missedProbes.sum();
    }

    /** Ejections of executors that failed or were slow. */
    public long ejections() {
        return ejections.sum();
    }
}
