package io.radishspindle.placement.internal;

import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Starts waiting tasks of one class, always for the team that uses the smallest part of its quota. Within a team the
 * oldest job goes first. Not thread-safe.
 */
final class FairPass {
    /** Chooses a worker for the next task of a job; null if there is none at present. */
    interface Chooser {
        @Nullable
        WorkerState choose(JobState job);
    }

    /** Bounds the search for a job that may run beside the reservations. */
    private static final int MAX_TRIED_PER_BUCKET = 8;

    private record Candidate(Team team, double share, long headSequence) {}

    private static final Comparator<Candidate> ORDER =
            Comparator.comparingDouble(Candidate::share).thenComparingLong(Candidate::headSequence);

    private final Context context;
    private final Ledger ledger;
    private final Set<Bucket> failed = new HashSet<>();

    FairPass(Context context, Ledger ledger) {
        this.context = context;
        this.ledger = ledger;
    }

    void run(ClassQueue queue, Chooser chooser) {
        if (queue.isEmpty()) {
            return;
        }
        failed.clear();
        PriorityQueue<Candidate> teams = new PriorityQueue<>(ORDER);
        queue.teams().forEach(team -> addCandidate(teams, queue, team));
        Candidate next = teams.poll();
        while (next != null) {
            if (startOne(queue, next.team(), chooser)) {
                addCandidate(teams, queue, next.team());
            }
            next = teams.poll();
        }
    }

    private void addCandidate(PriorityQueue<Candidate> teams, ClassQueue queue, Team team) {
        Set<Bucket> buckets = queue.bucketsOf(team);
        if (!buckets.isEmpty()) {
            long head = buckets.iterator().next().headSequence;
            teams.add(new Candidate(team, team.share(context.policy), head));
        }
    }

    private boolean startOne(ClassQueue queue, Team team, Chooser chooser) {
        for (Bucket bucket : queue.bucketsOf(team)) {
            if (ledger.isBlocked(bucket.demand) || failed.contains(bucket)) {
                continue;
            }
            if (startFrom(bucket, chooser)) {
                return true;
            }
            failed.add(bucket);
        }
        return false;
    }

    /** Jobs of a bucket differ in run time, so a reservation may stop the oldest and let a later one pass. */
    private boolean startFrom(Bucket bucket, Chooser chooser) {
        int tried = 0;
        for (JobState job : bucket.jobs.values()) {
            WorkerState worker = chooser.choose(job);
            if (worker != null) {
                ledger.start(job, job.ready.nextSetBit(0), worker);
                return true;
            }
            if (++tried == MAX_TRIED_PER_BUCKET || ledger.isBlocked(bucket.demand)) {
                return false;
            }
        }
        return false;
    }
}
