package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.HashMap;
import java.util.Map;

/**
 * The time after a takeover in which runs of the previous owner may be unknown. Belongs to its scheduler; not
 * thread-safe.
 *
 * <p>Invariant: until every recorded worker has reported or was replaced, or all leases that the previous owner may
 * have granted have expired, no task of a loaded job is started, and everything that loaded jobs may have running on
 * silent workers is reported to the limits of the tenants. Earlier owners have started runs on recorded workers only,
 * so that a registration counts neither if it is missing nor if no worker is behind it.
 *
 * <p>An earlier owner renews leases until it no longer counts a majority, which this owner can only bound by its own
 * majority, or until it has ended, if that is known. The earlier of the two bounds is in force.
 */
final class Recovery {
    /**
     * Longest time for which a run of the previous owner may go on once a majority of the workers has accepted the
     * token of this one, in milliseconds: the previous owner may renew leases as long as it counts that majority.
     */
    private static final long DURATION_MS =
            (long) ((PoolTiming.LEASE_MS + PoolTiming.CONFIRMATION_MS) / PoolTiming.MIN_CLOCK_RATE);

    /**
     * Longest time for which a run may go on once the owner that granted its lease has ended, in milliseconds. Expiries
     * are times on the clock of the worker, so that an order that is carried out late extends none. They are reckoned
     * from the last answer of the worker, which is no older than a confirmation.
     */
    private static final long AFTER_OWNER_MS =
            (long) Math.ceil((PoolTiming.LEASE_MS + PoolTiming.CONFIRMATION_MS) / PoolTiming.MIN_CLOCK_RATE)
                    - PoolTiming.CONFIRMATION_MS
                    + PoolTiming.LEASE_MARGIN_MS;

    /**
     * Age up to which a job that was stopped may still have runs, in milliseconds: the longest life of a run without a
     * lease, and as much for the clock of the VM that noted the end.
     */
    private static final long STOPPED_JOB_MS = 2 * DURATION_MS;

    /**
     * Wait for the reports of an inherited gang, in milliseconds: after it, a silent worker counts as unresponsive. A
     * gang that was started in part ends by itself after 5 s.
     */
    private static final long GANG_WAIT_MS = PoolTiming.UNRESPONSIVE_AFTER_MS;

    private final Map<String, WorkerState> workers;
    private final Map<String, JobState> unfinished;
    private final TenantLimits limits;
    private final WorkerRoster roster;
    private long endsMs = Long.MIN_VALUE;
    private long gangsReportedByMs = Long.MIN_VALUE;
    /** When all leases of earlier owners have expired, by what is known of the ends of these owners. */
    private long earlierLeasesEndMs = Long.MAX_VALUE;

    private boolean unseen;
    private boolean hadQuorum;
    /** By tenant, Unix milliseconds at which its last job was cancelled or failed. */
    private final Map<String, Long> lastStoppedWallMs = new HashMap<>();

    Recovery(
            Map<String, WorkerState> workers,
            Map<String, JobState> unfinished,
            TenantLimits limits,
            WorkerRoster roster) {
        this.roster = roster;
        this.workers = workers;
        this.unfinished = unfinished;
        this.limits = limits;
    }

    /** A loaded job ended before its tasks had succeeded, so that runs of unknown size may remain for a while. */
    void onStoppedJob(String tenant, long endedWallMs) {
        lastStoppedWallMs.merge(tenant, endedWallMs, Math::max);
    }

    void begin(long nowMs) {
        endsMs = nowMs + DURATION_MS;
        gangsReportedByMs = nowMs + GANG_WAIT_MS;
        unseen = true;
    }

    /** All earlier owners had ended at a time, so that none of them has granted a lease since. */
    void onEarlierOwnersEnded(long endedMs) {
        earlierLeasesEndMs = endedMs + AFTER_OWNER_MS;
    }

    /** Returns whether tasks of loaded jobs still wait for the workers' reports. */
    boolean isActive(long nowMs) {
        if (nowMs < endsMs && isComplete()) {
            endsMs = nowMs;
        }
        return nowMs < Math.min(endsMs, earlierLeasesEndMs);
    }

    /** Returns whether the recovery is active and ends within a time at the latest, as all leases have expired then. */
    boolean endsBy(long untilMs, long nowMs) {
        return isActive(nowMs) && Math.min(endsMs, earlierLeasesEndMs) <= untilMs;
    }

    /** Returns whether workers that have not reported yet may run the missing members of inherited gangs. */
    boolean mayLackGangMembers(long nowMs) {
        return nowMs < gangsReportedByMs && isActive(nowMs);
    }

    private boolean isComplete() {
        return !workers.isEmpty()
                && roster.isComplete()
                && workers.values().stream().noneMatch(this::mayHaveUnknownRuns);
    }

    private boolean mayHaveUnknownRuns(WorkerState worker) {
        return roster.contains(worker.id()) && !worker.hasReportedAll && !worker.replaced;
    }

    /** Returns the number of recorded workers that have not reported; after the recovery, their leases have expired. */
    int silentWorkers() {
        return (int) workers.values().stream().filter(this::mayHaveUnknownRuns).count();
    }

    /** Returns whether the worker may still report runs of an earlier owner. */
    boolean awaits(WorkerState worker, long nowMs) {
        return mayHaveUnknownRuns(worker) && isActive(nowMs);
    }

    /**
     * Updates the end of the recovery, and reports to the limits what may run unseen.
     *
     * @param quorum whether a majority of the workers answers; until then the previous owner may still renew leases
     */
    void update(boolean quorum, long nowMs, long wallMs) {
        if (!unseen) {
            return;
        }
        // The last of the majority may have accepted the token at any time since the previous update.
        if (!(quorum && hadQuorum) && isActive(nowMs)) {
            endsMs = nowMs + DURATION_MS;
        }
        hadQuorum = quorum;
        unseen = isActive(nowMs);
        limits.onUnseen(unseen ? unseenRuns(wallMs) : Map.of());
    }

    boolean mayHaveUnseenRuns() {
        return unseen;
    }

    /**
     * By tenant, the tasks of loaded jobs without a known run, but no more than fits on the silent workers if all of
     * them are recorded.
     */
    private Map<String, Resources> unseenRuns(long wallMs) {
        Map<String, Resources> byTenant = new HashMap<>();
        Map<String, Resources> reserved = new HashMap<>();
        for (JobState job : unfinished.values()) {
            String tenant = job.job.tenant();
            if (tenant == null || !job.inherited) {
                continue;
            }
            for (StepState step : job.steps) {
                if (!step.isDone() && job.isDue(step, wallMs)) {
                    int tasks = (int) step.waitingTasks();
                    Resources unreserved = step.spec.perTask().minus(step.spec.reserved());
                    reserved.merge(tenant, step.spec.reserved().times(tasks), Resources::plus);
                    byTenant.merge(tenant, unreserved.times(tasks), Resources::plus);
                }
            }
        }
        Resources silent = silentCapacity();
        boolean bounded = roster.isComplete() && !workers.isEmpty();
        reserved.forEach(
                (tenant, amount) -> byTenant.merge(tenant, bounded ? amount.atMost(silent) : amount, Resources::plus));
        lastStoppedWallMs.forEach((tenant, stoppedWallMs) -> {
            if (wallMs - stoppedWallMs < STOPPED_JOB_MS) {
                byTenant.merge(tenant, silent, Resources::plus);
            }
        });
        return byTenant;
    }

    private Resources silentCapacity() {
        return workers.values().stream()
                .filter(worker -> !worker.answered)
                .map(worker -> worker.entry.capacity())
                .reduce(Resources.NONE, Resources::plus);
    }
}
