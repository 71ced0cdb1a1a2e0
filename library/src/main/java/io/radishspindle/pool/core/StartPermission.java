package io.radishspindle.pool.core;

import java.util.Collection;

/**
 * Decides which tasks this owner may start. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: while a task may start, no run of it is at work or has succeeded without the owner's knowledge, and
 * nobody else may start it.
 *
 * <ul>
 *   <li>A newer owner started at most {@link PoolTiming#CONFIRMATION_MS} ago: a majority of the recorded workers has
 *       answered holds of this one that were sent since then ({@link Quorum}), and a newer one needs a majority of the
 *       same workers, each of which rejects this owner from then on. For that time the newer owner keeps to the next
 *       point. Registrations that are gone for longer than an outage of the store explains end the part of their
 *       workers in this, as the platform takes such workers for gone.
 *   <li>No earlier owner acts, and none of its runs is unknown: it knows only jobs that were stored before the claim of
 *       this owner, and those wait until every recorded worker has reported all its runs and ends to this owner, and so
 *       rejects the earlier one, or can't have runs any more, as all leases of earlier owners have expired: those
 *       owners have lost their majority to this one, or are known to have ended ({@link Recovery}).
 *   <li>This owner has no run of the task that may be at work: a run is released only by what its worker has reported
 *       or by the end of all its leases ({@link RunEvents}), and until then it counts, also if the task has another run
 *       ({@link ActiveRuns}).
 *   <li>A later owner will know: starts go to recorded workers only ({@link WorkerState#isUsable}).
 * </ul>
 */
final class StartPermission {
    private final Quorum quorum;
    private final Recovery recovery;
    private final ActiveRuns runs;

    StartPermission(Quorum quorum, Recovery recovery, ActiveRuns runs) {
        this.quorum = quorum;
        this.recovery = recovery;
        this.runs = runs;
    }

    /** Whether this owner may start tasks at all. */
    boolean mayStartAny(Collection<WorkerState> workers, long nowMs) {
        return quorum.isReached(workers, nowMs);
    }

    /** Whether tasks of the job may start, if this owner may start any. */
    boolean mayStartTasksOf(JobState job, long nowMs) {
        return !job.inherited || !recovery.isActive(nowMs);
    }

    /** Whether the task may start, if tasks of its job may. */
    boolean mayStart(TaskState task) {
        return task.isWaiting() && !runs.contains(task.name);
    }
}
