package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import org.jspecify.annotations.Nullable;

/**
 * A run that occupies a worker, from the order to start it until the worker has listed its end. Belongs to its
 * scheduler; not thread-safe.
 */
final class RunState {
    /** Life cycle on the worker. */
    enum Phase {
        STARTING,
        /** The start got no answer; the next lists of the worker decide. */
        UNRESOLVED,
        RUNNING,
        STOPPING
    }

    final Run run;
    final WorkerState worker;
    final Resources reserved;
    /** Null for a run that belongs to no open task; it is stopped. */
    final @Nullable TaskState task;

    /** What the run takes is not known, so that nothing may be started beside it. */
    boolean unknownSize;

    final long sentAtMs;
    Phase phase = Phase.STARTING;
    /** Lists that were requested before this time say nothing about the run's absence. */
    long settledAtMs;

    /** The order to start it got no answer, so that it may still be carried out. */
    boolean startUnknown;
    /** The worker has accepted a stop, which also bars a start that is carried out later. */
    boolean stopAccepted;

    long stopSentAtMs;
    long idleSinceMs = -1;

    RunState(Run run, WorkerState worker, Resources reserved, @Nullable TaskState task, long sentAtMs) {
        this.run = run;
        this.worker = worker;
        this.reserved = reserved;
        this.task = task;
        this.sentAtMs = sentAtMs;
        settledAtMs = Long.MAX_VALUE;
    }

    /** Marks the run as stopping; yields the order for its worker. */
    PoolAction.Stop stop(long nowMs, String reason) {
        phase = Phase.STOPPING;
        stopSentAtMs = nowMs;
        return new PoolAction.Stop(worker.entry, run, reason);
    }

    boolean isActive() {
        return phase == Phase.STARTING || phase == Phase.RUNNING;
    }
}
