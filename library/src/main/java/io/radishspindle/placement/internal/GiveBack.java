package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.List;

/**
 * Returns borrowed resources: stops batch tasks of teams above their quota when a team below its quota waits. Not
 * thread-safe.
 *
 * <p>The room is kept for the job that it was made for. Without that, an aged job of the borrower takes it and is
 * stopped again; the replay showed 16,000 such stops for 15,600 tasks.
 */
final class GiveBack {
    private static final long INTERVAL_MS = 500;
    /** Waiting that ends by itself this soon is not worth the loss of work. */
    private static final long MIN_WAIT_MS = 5_000;
    /** Two tasks every half second return a worker within seconds and bound the work that is lost. */
    private static final int MAX_TASKS_PER_RUN = 2;
    /** Bounds the searches for room in one run; with many waiting sizes most find none. */
    private static final int MAX_SEARCHES_PER_RUN = 16;
    /** A claim is given up after this, for example if a stopped task does not end. */
    private static final long CLAIM_MS = 10_000;

    /** Room on a worker for one task of a job. */
    private record Claim(JobState job, WorkerState worker, long untilMs) {}

    private final Context context;
    private final Queues queues;
    private final Ledger ledger;
    private final RoomMaker rooms;
    private final List<Claim> claims = new ArrayList<>();
    private long nextAtMs;
    private int searches;

    GiveBack(Parts parts, RoomMaker rooms) {
        this.context = parts.context;
        this.queues = parts.queues;
        this.ledger = parts.ledger;
        this.rooms = rooms;
    }

    /** Starts the tasks whose room has become free and keeps the other claimed room. */
    void settleClaims() {
        List<Claim> open = List.copyOf(claims);
        claims.clear();
        for (Claim claim : open) {
            if (!isValid(claim)) {
                continue;
            }
            JobState job = claim.job();
            if (job.demand.fitsIn(claim.worker().freeForOthers())) {
                ledger.start(job, job.ready.nextSetBit(0), claim.worker());
            } else {
                rooms.earmark(claim.worker(), job.demand);
                claims.add(claim);
            }
        }
    }

    private boolean isValid(Claim claim) {
        return claim.job().bucket != null && claim.worker().isUsable() && context.nowMs < claim.untilMs();
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
                if (isOwed(team, bucket) && reclaimFor(bucket.head(), team)) {
                    left--;
                }
            }
        }
        return left;
    }

    private boolean reclaimFor(JobState job, Team team) {
        searches++;
        WorkerState worker = rooms.makeRoom(job.demand, a -> isBorrowed(a, team), StopReason.RECLAIMED);
        if (worker == null) {
            return false;
        }
        claims.add(new Claim(job, worker, context.nowMs + CLAIM_MS));
        return true;
    }

    private boolean isOwed(Team team, Bucket bucket) {
        JobState head = bucket.head();
        long waitedMs = context.nowMs - head.acceptedAtMs;
        return bucket.shape.blocked
                && waitedMs >= MIN_WAIT_MS
                && claims.stream().noneMatch(claim -> claim.job() == head)
                && shareWith(team, bucket.demand) <= 1;
    }

    private double shareWith(Team team, Resources more) {
        Team later = new Team(team.name);
        later.used = team.used.plus(more);
        return later.share(context.policy);
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
