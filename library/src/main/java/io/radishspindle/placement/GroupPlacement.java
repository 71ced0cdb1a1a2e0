package io.radishspindle.placement;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Decides which tasks of one group of workers run where. Implementations are deterministic, do no I/O and read no
 * clock; they are not thread-safe and belong to the event loop of the group's owner.
 *
 * <p>Invariants: the resources charged to a worker never exceed its capacity; a task has at most one attempt that is
 * started, running or open.
 */
public interface GroupPlacement {
    /** Handles an event at {@code nowMs} of the monotonic clock; time never decreases between calls. */
    List<PlacementAction> handle(long nowMs, PlacementEvent event);

    /**
     * Checks before acceptance whether the group can ever run a job and whether the queue has capacity for it. Changes
     * nothing.
     */
    Either<Failure, JobSpec> check(JobSpec job);

    Optional<JobStatus> status(long nowMs, String jobId);

    List<JobStatus> statuses(long nowMs);

    /** Returns capacity, free resources and queue length, which are announced to other VMs. */
    Totals totals();

    /** Sums over the usable workers of the group. */
    record Totals(Resources capacity, Resources free, Resources largestWorker, int queuedTasks, int runningTasks) {}
}
