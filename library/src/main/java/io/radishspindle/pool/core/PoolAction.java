package io.radishspindle.pool.core;

import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import java.util.List;

/** What the scheduler of a pool wants done. Actions are immutable and thread-safe. */
public sealed interface PoolAction {
    /** Start a run; {@code fencingToken} of the order is filled in by the owner. */
    record Start(WorkerEntry worker, StartOrder order) implements PoolAction {}

    /** Stop a run. */
    record Stop(WorkerEntry worker, Run run, String reason) implements PoolAction {}

    /** Let a run work at a share of its speed. */
    record Pace(WorkerEntry worker, Run run, int percent) implements PoolAction {}

    /** Ask which workers may run a step. */
    record Advise(String step, List<String> workers, long expectedMs) implements PoolAction {}

    /**
     * A final decision on a job, for the log.
     *
     * @param ageMs milliseconds since the job was accepted
     * @param timeline for each step: number of tasks, then the milliseconds of its readiness, of the last first start
     *     of a task, and of its end, counted from the readiness of the first step
     */
    record JobEnded(String jobId, String queue, String phase, String reason, long ageMs, String timeline)
            implements PoolAction {}

    /** A worker's standing has changed, for the log. */
    record WorkerChanged(String workerId, String change, String reason) implements PoolAction {}
}
