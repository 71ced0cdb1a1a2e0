package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;

/**
 * Returns borrowed resources: stops batch tasks of teams above their quota when a team below its quota waits. Not
 * thread-safe.
 */
final class GiveBack {
    private static final long INTERVAL_MS = 500;
    /** Waiting that ends by itself this soon is not worth the loss of work. */
    private static final long MIN_WAIT_MS = 5_000;

    private static final int MAX_TASKS_PER_RUN = 8;

    private final Context context;
    private final Queues queues;
    private final RoomMaker rooms;
    private long nextAtMs;

    GiveBack(Parts parts, RoomMaker rooms) {
        this.context = parts.context;
        this.queues = parts.queues;
        this.rooms = rooms;
    }

    void run() {
        if (context.nowMs < nextAtMs) {
            return;
        }
        nextAtMs = context.nowMs + INTERVAL_MS;
        int left = reclaim(JobClass.SERVICE, MAX_TASKS_PER_RUN);
        reclaim(JobClass.BATCH, left);
    }

    private int reclaim(JobClass jobClass, int atMost) {
        int left = atMost;
        ClassQueue queue = queues.of(jobClass);
        for (Team team : queue.teams()) {
            for (Bucket bucket : queue.bucketsOf(team)) {
                if (left == 0) {
                    return 0;
                }
                if (isOwed(team, bucket)
                        && rooms.makeRoom(bucket.demand, a -> isBorrowed(a, team), StopReason.RECLAIMED)) {
                    left--;
                }
            }
        }
        return left;
    }

    private boolean isOwed(Team team, Bucket bucket) {
        long waitedMs = context.nowMs - bucket.head().acceptedAtMs;
        return waitedMs >= MIN_WAIT_MS && bucket.shape.blocked && shareWith(team, bucket.demand) <= 1;
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
