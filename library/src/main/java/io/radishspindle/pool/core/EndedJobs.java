package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The jobs that had ended before the takeover, without their steps. Belongs to its scheduler; not thread-safe. */
final class EndedJobs {
    private record EndedJob(JobPhase phase, long endedWallMs, @Nullable String tenant) {}

    private final Map<String, EndedJob> byId = new LinkedHashMap<>();

    void add(String jobId, JobPhase phase, long endedWallMs, @Nullable String tenant) {
        byId.put(jobId, new EndedJob(phase, endedWallMs, tenant));
    }

    boolean contains(String jobId) {
        return byId.containsKey(jobId);
    }

    Optional<JobPhase> phase(String jobId) {
        return Optional.ofNullable(byId.get(jobId)).map(EndedJob::phase);
    }

    Optional<String> tenant(String jobId) {
        return Optional.ofNullable(byId.get(jobId)).map(EndedJob::tenant);
    }

    /** Returns at most {@code limit} jobs that ended before {@code untilWallMs}. */
    List<String> endedBefore(long untilWallMs, int limit) {
        return byId.entrySet().stream()
                .filter(entry -> entry.getValue().endedWallMs() < untilWallMs)
                .limit(limit)
                .map(Map.Entry::getKey)
                .toList();
    }

    void removeAll(Collection<String> jobIds) {
        byId.keySet().removeAll(jobIds);
    }
}
