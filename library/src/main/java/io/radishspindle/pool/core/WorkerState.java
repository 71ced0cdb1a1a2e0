package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskCrashes.Place;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The state of a worker with the runs that occupy or may occupy it. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariants: {@code used} is the sum of the reservations of {@code runs}; a worker is usable only while its
 * registration, from which labels, rack, capacity and state are taken, is of the incarnation that answers.
 */
final class WorkerState {
    final Map<Run, RunState> runs = new LinkedHashMap<>();
    final WorkerHealth health = new WorkerHealth();
    /** The calls to the worker and the answers from it. */
    final EventSequence calls = new EventSequence();

    /** Longest time for which a lease of this owner can be in force after it was granted, in milliseconds. */
    static final long LONGEST_LEASE_MS =
            (long) Math.ceil(PoolTiming.LEASE_MS / PoolTiming.MIN_CLOCK_RATE) + PoolTiming.LEASE_MARGIN_MS;

    /** Long before every time on the owner's clock. */
    private static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final TenantLimits limits;
    private final WorkerRoster roster;
    private final ActiveRuns activeRuns;
    private final long maxLeaseMs;
    WorkerEntry entry;
    /** Whether the worker is registered in the store. */
    boolean listed = true;
    /** Another worker has answered at the address of this one, which has therefore ended. */
    boolean replaced;

    long bootWallMs;
    boolean answered;
    /** Whether this owner knows all runs and ends that earlier owners left on the worker. */
    boolean hasReportedAll;
    /** The registration at whose address the worker gave the last answer, to this owner or to an earlier one. */
    @Nullable
    WorkerEntry entryAtLastAnswer;

    boolean lastHoldFailed;
    /** When the first hold since the last answer failed; -1 if none has. */
    long brokenAtMs = -1;
    /** That hold was broken off or its connection refused, so that the worker's VM answers but the worker doesn't. */
    boolean brokenOff;
    /** Number of holds that have failed since the last answer. */
    int failedHolds;
    /** The trial for which the worker is closed to other starts. */
    final WorkerTrial trial = new WorkerTrial();

    /** When the last hold was answered in time. */
    long lastAnswerMs = NEVER_MS;
    /** When an answer of this incarnation last arrived, in time or late. */
    long lastArrivalMs = NEVER_MS;
    /** A lease was granted after that. */
    boolean grantedSinceArrival;
    /** The worker has accepted the token of this owner at this time or later: when its last answered hold was sent. */
    long tokenAcceptedAtMs = NEVER_MS;
    /** The order of the reports that were applied. */
    final ReportSequence reports = new ReportSequence();
    /** Numbers of the last hold and of the last one that has failed. */
    long lastHoldNumber = EventSequence.BEFORE_ALL;

    private long failedHoldNumber = EventSequence.BEFORE_ALL;

    long clockMs;
    long clockAtMs;
    /** Time on the owner's clock at which all leases granted to the worker have certainly expired. */
    long leaseBoundMs;
    /** What has set that time. */
    LeaseSource leaseSource = LeaseSource.NONE;
    /** Time at which the last failed hold was sent. */
    long failedHoldSentAtMs = Long.MIN_VALUE;
    /** Highest sequence number of an end that was applied. */
    long appliedSequence;
    /** Highest sequence number of an end whose effect is durable. */
    long durableSequence;

    long drainingSinceMs = -1;
    Resources used = Resources.NONE;

    WorkerState(WorkerEntry entry, TenantLimits limits, WorkerRoster roster, ActiveRuns activeRuns, long maxLeaseMs) {
        this.maxLeaseMs = maxLeaseMs;
        this.entry = entry;
        this.limits = limits;
        this.roster = roster;
        this.activeRuns = activeRuns;
    }

    String id() {
        return entry.id();
    }

    String address() {
        return entry.host() + ":" + entry.port();
    }

    /** This incarnation of the worker. */
    Place place() {
        return new Place(id(), entry.host(), entry.port(), bootWallMs);
    }

    Resources free() {
        return entry.capacity().minus(used);
    }

    void occupy(RunState run) {
        RunState replaced = runs.get(run.run);
        if (replaced != null) {
            release(replaced);
        }
        runs.put(run.run, run);
        activeRuns.onOccupied(run.run.task());
        used = used.plus(run.reserved);
        if (run.tenant != null) {
            limits.onOccupied(run.tenant, run.charged);
        }
    }

    void release(RunState run) {
        if (runs.remove(run.run, run)) {
            activeRuns.onReleased(run.run.task());
            used = used.minus(run.reserved);
            if (run.tenant != null) {
                limits.onReleased(run.tenant, run.charged);
            }
        }
    }

    boolean isUsable(long nowMs) {
        return unusableBecause(nowMs) == Obstacle.NONE;
    }

    /** Why nothing may be started on the worker; {@link Obstacle#NONE} if something may. */
    Obstacle unusableBecause(long nowMs) {
        if (!listed || !isAnswering(nowMs)) {
            return Obstacle.NOT_ANSWERING;
        }
        if (runs.values().stream().anyMatch(run -> run.hasUnknownResources)) {
            return Obstacle.UNKNOWN_RUN;
        }
        if (!isRegistrationCurrent()) {
            return Obstacle.OLD_REGISTRATION;
        }
        if (entry.draining()) {
            return Obstacle.DRAINING;
        }
        if (lastHoldFailed) {
            return Obstacle.HOLD_FAILED;
        }
        return roster.mayStartOn(entry) ? Obstacle.NONE : Obstacle.NOT_RECORDED;
    }

    /**
     * Whether the registration is of the incarnation that answered last. A worker may restart under its id with other
     * labels and another capacity, and its registration and its reports change at different times.
     */
    boolean isRegistrationCurrent() {
        return answered && entry.bootWallMs() == bootWallMs;
    }

    boolean isAnswering(long nowMs) {
        return answered && nowMs - lastAnswerMs < PoolTiming.UNRESPONSIVE_AFTER_MS;
    }

    /** Treats the worker as one that has not answered for some time before {@code atMs}. */
    void distrustAnswers(long atMs) {
        lastAnswerMs = Math.min(lastAnswerMs, atMs - PoolTiming.UNRESPONSIVE_AFTER_MS);
        tokenAcceptedAtMs = Math.min(tokenAcceptedAtMs, atMs - PoolTiming.CONFIRMATION_MS);
    }

    /** Whether the worker shows that this owner still owned the pool a short time ago. */
    boolean confirmsOwner(long nowMs) {
        return answered && nowMs - tokenAcceptedAtMs < PoolTiming.CONFIRMATION_MS;
    }

    /** Whether an owner of the pool has ever got an answer, without which there may be no worker at all. */
    boolean hasEverAnswered() {
        return entryAtLastAnswer != null;
    }

    /** Whether the last answer came from the address that is registered now. */
    boolean answeredAtItsAddress() {
        return entryAtLastAnswer != null && entry.isAtSameAddress(entryAtLastAnswer);
    }

    /** Whether all leases that this owner granted have expired without a sign of life. */
    boolean isLost(long nowMs) {
        boolean unresponsive = !answered || nowMs - lastArrivalMs > PoolTiming.UNRESPONSIVE_AFTER_MS;
        // Requires a failed hold after the expiry, so that an owner short of processor time doesn't miss an end.
        boolean polledSince = failedHoldSentAtMs >= leaseBoundMs;
        return unresponsive && nowMs > leaseBoundMs && (polledSince || runs.isEmpty());
    }

    /** An expiry that was sent on the clock of an earlier incarnation is shortened to the longest lease. */
    void onClockRestarted(long nowMs) {
        long boundMs = nowMs + (long) Math.ceil(maxLeaseMs / PoolTiming.MIN_CLOCK_RATE);
        raiseLeaseBound(boundMs + PoolTiming.LEASE_MARGIN_MS, LeaseSource.EARLIER_INCARNATION);
    }

    private void raiseLeaseBound(long boundMs, LeaseSource source) {
        if (boundMs > leaseBoundMs) {
            leaseBoundMs = boundMs;
            leaseSource = source;
        }
    }

    /** The last hold has failed: its answer is overdue, its connection broke, or it was rejected. */
    void onHoldFailed(long sentAtMs) {
        lastHoldFailed = true;
        failedHolds++;
        failedHoldSentAtMs = sentAtMs;
        failedHoldNumber = lastHoldNumber;
    }

    /** Whether the answer to this hold comes after the hold has failed. */
    boolean isLate(SentHold hold) {
        return hold.number() <= failedHoldNumber;
    }

    /**
     * Applies that the worker has answered a hold. A late answer shows that the worker was alive, but not that holds
     * sent from now on are answered in time.
     */
    void onAnswered(SentHold hold, long nowMs) {
        lastArrivalMs = nowMs;
        grantedSinceArrival = false;
        tokenAcceptedAtMs = Math.max(tokenAcceptedAtMs, hold.sentAtMs());
        if (!isLate(hold)) {
            lastAnswerMs = nowMs;
            lastHoldFailed = false;
            failedHolds = 0;
            brokenAtMs = -1;
            brokenOff = false;
        }
    }

    /**
     * Applies the worker's clock in a report, unless an earlier report tells it better, as this one was under way for
     * long.
     *
     * @param sameIncarnation whether the clock is that of the last report
     */
    void onClock(SentHold hold, long reportedMs, boolean sameIncarnation, long nowMs) {
        if (!sameIncarnation || !isLate(hold) || reportedMs >= leastClockMs(nowMs)) {
            clockMs = reportedMs;
            clockAtMs = nowMs;
        }
    }

    /**
     * Whether the next hold may renew the lease. A worker that may be unreachable gets no further one until something
     * arrives from it, so that its runs end at a known time.
     */
    boolean mayRenewLease() {
        return !runs.isEmpty() && (!lastHoldFailed || (lastArrivalMs > brokenAtMs && !grantedSinceArrival));
    }

    /** Grants a lease: returns its expiry on the worker's clock and raises the bound on the owner's clock. */
    long grantLease(long nowMs, LeaseSource source) {
        raiseLeaseBound(nowMs + LONGEST_LEASE_MS, source);
        grantedSinceArrival = true;
        return leastClockMs(nowMs) + PoolTiming.LEASE_MS;
    }

    /** The worker's clock, or less: it may be slow. So no lease is longer than the usual one on that clock. */
    private long leastClockMs(long nowMs) {
        return clockMs + (long) ((nowMs - clockAtMs) * PoolTiming.MIN_CLOCK_RATE);
    }
}
