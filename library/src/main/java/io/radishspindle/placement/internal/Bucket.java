package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.Map;
import java.util.TreeMap;

/**
 * Jobs of one team and class whose tasks need the same resources, in order of acceptance. If one of their tasks does
 * not fit, none does. Not thread-safe.
 */
final class Bucket {
    final Team team;
    final Resources demand;
    final Shape shape;
    final TreeMap<Long, JobState> jobs = new TreeMap<>();
    /** Sequence number of the oldest job; the sort key of the sets that hold the bucket. */
    long headSequence;

    Bucket(Team team, Shape shape) {
        this.team = team;
        this.shape = shape;
        this.demand = shape.demand;
    }

    JobState head() {
        Map.Entry<Long, JobState> first = jobs.firstEntry();
        if (first == null) {
            throw new IllegalStateException("empty bucket in the queue");
        }
        return first.getValue();
    }
}
