package io.radishspindle.placement.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/**
 * Starts waiting tasks of one class, always for the team that uses the smallest fraction of its quota, less a credit
 * for its waiting time. Within a team the oldest job goes first. Not thread-safe.
 *
 * <p>Free resources only shrink during a pass, so a bucket that finds no worker is not tried again in it, and one pass
 * examines each bucket once in addition to the tasks it starts.
 */
final class FairPass {
    /** Chooses a worker for the next task of a job; null if there is none at present. */
    interface Chooser {
        @Nullable
        WorkerState choose(JobState job);
    }

    /**
     * Waiting time that offsets a usage of one full quota. Without ageing a team with a burst waits until all others
     * are idle, and the longest waits exceed those of first-come first-served.
     */
    private static final double AGING_MS = 30_000;
    /** Bounds the search for a job that the reservations allow. */
    private static final int MAX_JOBS_PER_BUCKET = 8;

    /** A team with its buckets that may still find a worker. */
    private static final class Candidate {
        final Team team;
        final List<Bucket> buckets = new ArrayList<>();
        int cursor;
        double share;

        Candidate(Team team) {
            this.team = team;
        }
    }

    private static final Comparator<Candidate> ORDER = Comparator.comparingDouble((Candidate c) -> c.share)
            .thenComparingLong(c -> c.buckets.get(0).headSequence)
            .thenComparing(c -> c.team.name);

    private final Context context;
    private final Ledger ledger;
    private final Reservations reservations;
    private long pass;

    FairPass(Components components, Reservations reservations) {
        this.context = components.context;
        this.ledger = components.ledger;
        this.reservations = reservations;
    }

    void run(ClassQueue queue, Chooser chooser) {
        if (queue.isEmpty()) {
            return;
        }
        pass++;
        PriorityQueue<Candidate> teams = new PriorityQueue<>(ORDER);
        for (Team team : queue.teams()) {
            Candidate candidate = candidate(queue, team);
            if (!candidate.buckets.isEmpty()) {
                teams.add(candidate);
            }
        }
        Candidate next = teams.poll();
        while (next != null) {
            if (startOne(next, chooser)) {
                next.share = priority(next);
                teams.add(next);
            }
            next = teams.poll();
        }
    }

    private Candidate candidate(ClassQueue queue, Team team) {
        Candidate candidate = new Candidate(team);
        for (Bucket bucket : queue.bucketsOf(team)) {
            if (!bucket.shape.blocked) {
                candidate.buckets.add(bucket);
            }
        }
        candidate.share = priority(candidate);
        return candidate;
    }

    /** Returns the share of the team, lowered by the time that its oldest job has waited; the lowest goes first. */
    private double priority(Candidate candidate) {
        double share = candidate.team.share(context.policy);
        if (candidate.cursor >= candidate.buckets.size()) {
            return share;
        }
        Bucket bucket = candidate.buckets.get(candidate.cursor);
        long waitedMs = bucket.jobs.isEmpty() ? 0 : context.nowMs - bucket.head().acceptedAtMs;
        return share - (double) waitedMs / AGING_MS;
    }

    private boolean startOne(Candidate candidate, Chooser chooser) {
        while (candidate.cursor < candidate.buckets.size()) {
            if (startFrom(candidate.buckets.get(candidate.cursor), chooser)) {
                return true;
            }
            candidate.cursor++;
        }
        return false;
    }

    /** Jobs of a bucket differ in run time, so a reservation may exclude the oldest and allow a later one. */
    private boolean startFrom(Bucket bucket, Chooser chooser) {
        int tried = 0;
        for (JobState job : bucket.jobs.values()) {
            if (bucket.shape.blocked || tried++ == MAX_JOBS_PER_BUCKET) {
                return false;
            }
            if (isKnownNotToFit(job, bucket.shape)) {
                continue;
            }
            WorkerState worker = chooser.choose(job);
            if (worker != null) {
                ledger.start(job, job.ready.nextSetBit(0), worker);
                return true;
            }
            bucket.shape.noteFailed(pass, job.expectedRunMs());
        }
        return false;
    }

    /** Whether a job that runs no longer found no worker in this pass. A job with a reservation may still find one. */
    private boolean isKnownNotToFit(JobState job, Shape shape) {
        return shape.hasFailed(pass, job.expectedRunMs()) && reservations.of(job) == null;
    }
}
