package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.List;

/**
 * Reclaims borrowed resources: stops batch tasks of teams above their quota when a team below its quota waits. Not
 * thread-safe.
 *
 * <p>The freed capacity is held for the job that it was reclaimed for. Otherwise a job of the borrower that has waited
 * long takes it and is stopped again; a replay showed 16,000 such stops for 15,600 tasks.
 */
final class QuotaReclaimer {
    private static final long INTERVAL_MS = 500;
    /** Shorter waits often end without preemption, which would lose work. */
    private static final long MIN_WAIT_MS = 5_000;
    /** Two tasks every half second reclaim a worker within seconds and bound the work that is lost. */
    private static final int MAX_TASKS_PER_RUN = 2;
    /** Bounds the searches for capacity in one run; with many waiting shapes most find none. */
    private static final int MAX_SEARCHES_PER_RUN = 16;
    /** A hold is dropped after this time, for example if a stopped task does not end. */
    private static final long HOLD_TIMEOUT_MS = 10_000;

    /** Capacity on a worker that is held for one task of a job. */
    private record Hold(JobState job, WorkerState worker, long untilMs) {}

    private final Context context;
    private final Queues queues;
    private final Ledger ledger;
    private final Preemptor preemptor;
    private final List<Hold> holds = new ArrayList<>();
    private long nextAtMs;
    private int searches;

    QuotaReclaimer(Components components, Preemptor preemptor) {
        this.context = components.context;
        this.queues = components.queues;
        this.ledger = components.ledger;
        this.preemptor = preemptor;
    }

    /** Starts the tasks whose held capacity has become free and keeps the other holds. */
    void startFromHolds() {
        List<Hold> previous = List.copyOf(holds);
        holds.clear();
        for (Hold hold : previous) {
            if (!isValid(hold)) {
                continue;
            }
            JobState job = hold.job();
            if (job.demand.fitsIn(hold.worker().freeForOthers())) {
                ledger.start(job, job.ready.nextSetBit(0), hold.worker());
            } else {
                preemptor.earmark(hold.worker(), job.demand);
                holds.add(hold);
            }
        }
    }

    private boolean isValid(Hold hold) {
        return hold.job().bucket != null && hold.worker().isUsable() && context.nowMs < hold.untilMs();
    }

    void run() {
        if (context.nowMs < nextAtMs) {
            return;
        }
        nextAtMs = context.nowMs + INTERVAL_MS;
        if (!queues.isAnyTeamBorrowing(context.policy)) {
            return;
        }
        searches = 0;
        int left = reclaim(JobClass.SERVICE, MAX_TASKS_PER_RUN);
        reclaim(JobClass.BATCH, left);
    }

    private int reclaim(JobClass jobClass, int atMost) {
        int left = atMost;
        ClassQueue queue = queues.of(jobClass);
        for (Team team : queue.teams()) {
            for (Bucket bucket : queue.bucketsOf(team)) {
                if (left == 0 || searches >= MAX_SEARCHES_PER_RUN) {
                    return 0;
                }
                if (mayReclaim(team, bucket) && reclaimFor(bucket.head(), team)) {
                    left--;
                }
            }
        }
        return left;
    }

    private boolean reclaimFor(JobState job, Team team) {
        searches++;
        WorkerState worker = preemptor.preemptFor(job.demand, a -> isBorrowed(a, team), StopReason.RECLAIMED);
        if (worker == null) {
            return false;
        }
        holds.add(new Hold(job, worker, context.nowMs + HOLD_TIMEOUT_MS));
        return true;
    }

    private boolean mayReclaim(Team team, Bucket bucket) {
        JobState head = bucket.head();
        long waitedMs = context.nowMs - head.acceptedAtMs;
        return bucket.shape.blocked
                && waitedMs >= MIN_WAIT_MS
                && holds.stream().noneMatch(hold -> hold.job() == head)
                && shareAfter(team, bucket.demand) <= 1;
    }

    private double shareAfter(Team team, Resources added) {
        Team projected = new Team(team.name);
        projected.used = team.used.plus(added);
        return projected.share(context.policy);
    }

    private boolean isBorrowed(Attempt attempt, Team claimant) {
        JobState job = attempt.job;
        if (job == null || job.spec.jobClass() != JobClass.BATCH) {
            return false;
        }
        Team owner = queues.team(job.spec.team());
        return owner != claimant && owner.share(context.policy) > 1;
    }
}
