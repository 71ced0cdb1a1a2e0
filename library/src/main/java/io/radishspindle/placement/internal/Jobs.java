package io.radishspindle.placement.internal;

import io.radishspindle.model.JobStatus;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The unfinished jobs of the group and the final statuses of a bounded number of finished ones. Not thread-safe. */
final class Jobs {
    private static final int MAX_ENDED = 10_000;

    private final Map<String, JobState> active = new LinkedHashMap<>();
    private final Map<String, JobStatus> ended = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, JobStatus> eldest) {
            return size() > MAX_ENDED;
        }
    };
    private long nextSequence;

    @Nullable
    JobState get(String id) {
        return active.get(id);
    }

    @Nullable
    JobStatus endedStatus(String id) {
        return ended.get(id);
    }

    boolean isKnown(String id) {
        return active.containsKey(id) || ended.containsKey(id);
    }

    long nextSequence() {
        return nextSequence++;
    }

    void add(JobState job) {
        active.put(job.spec.id(), job);
    }

    void end(JobState job, JobStatus status) {
        active.remove(job.spec.id());
        ended.put(job.spec.id(), status);
    }

    Collection<JobState> active() {
        return active.values();
    }

    Collection<JobStatus> ended() {
        return ended.values();
    }
}
