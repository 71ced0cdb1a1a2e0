package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Waiting jobs of one class, grouped into buckets. Not thread-safe.
 *
 * <p>Invariant: a job is in a bucket if and only if it has tasks that are ready; adding and removing a job costs the
 * logarithm of the number of buckets and jobs.
 */
final class ClassQueue {
    private static final Comparator<Bucket> BY_ARRIVAL = Comparator.comparingLong(b -> b.headSequence);

    private record BucketKey(String team, Resources demand) {}

    private final Shapes shapes;
    private final Map<BucketKey, Bucket> buckets = new HashMap<>();
    private final TreeSet<Bucket> byArrival = new TreeSet<>(BY_ARRIVAL);
    private final Map<Team, TreeSet<Bucket>> byTeam = new TreeMap<>(Comparator.comparing((Team t) -> t.name));

    ClassQueue(Shapes shapes) {
        this.shapes = shapes;
    }

    void add(JobState job, Team team) {
        Bucket current = job.bucket;
        if (current != null) {
            return;
        }
        Bucket bucket = buckets.computeIfAbsent(
                new BucketKey(team.name, job.demand), key -> new Bucket(team, shapes.acquire(job.demand)));
        unlink(bucket);
        bucket.jobs.put(job.sequence, job);
        job.bucket = bucket;
        link(bucket);
    }

    void remove(JobState job) {
        Bucket bucket = job.bucket;
        if (bucket == null) {
            return;
        }
        unlink(bucket);
        bucket.jobs.remove(job.sequence);
        job.bucket = null;
        if (bucket.jobs.isEmpty()) {
            buckets.remove(new BucketKey(bucket.team.name, bucket.demand));
            shapes.release(bucket.shape);
        } else {
            link(bucket);
        }
    }

    private void unlink(Bucket bucket) {
        if (bucket.jobs.isEmpty()) {
            return;
        }
        byArrival.remove(bucket);
        TreeSet<Bucket> teamBuckets = byTeam.get(bucket.team);
        if (teamBuckets != null) {
            teamBuckets.remove(bucket);
            if (teamBuckets.isEmpty()) {
                byTeam.remove(bucket.team);
            }
        }
    }

    private void link(Bucket bucket) {
        bucket.headSequence = bucket.jobs.firstKey();
        byArrival.add(bucket);
        byTeam.computeIfAbsent(bucket.team, team -> new TreeSet<>(BY_ARRIVAL)).add(bucket);
    }

    boolean isEmpty() {
        return byArrival.isEmpty();
    }

    Set<Bucket> bucketsByArrival() {
        return byArrival;
    }

    Set<Team> teams() {
        return byTeam.keySet();
    }

    Set<Bucket> bucketsOf(Team team) {
        TreeSet<Bucket> teamBuckets = byTeam.get(team);
        return teamBuckets == null ? Set.of() : teamBuckets;
    }
}
