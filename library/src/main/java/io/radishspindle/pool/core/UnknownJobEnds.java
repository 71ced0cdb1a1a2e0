package io.radishspindle.pool.core;

import io.radishspindle.pool.model.WorkerReport.EndedRun;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reported ends of runs of jobs that the owner doesn't know yet, as an earlier owner learned of them first. Belongs to
 * its scheduler; not thread-safe.
 */
final class UnknownJobEnds {
    /** Older jobs are dropped: they have ended long ago and were removed. */
    private static final int MAX_JOBS = 1_000;

    private final Map<String, List<EndedRun>> byJob = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<EndedRun>> eldest) {
            return size() > MAX_JOBS;
        }
    };

    void add(EndedRun ended) {
        byJob.computeIfAbsent(ended.run().task().jobId(), id -> new ArrayList<>())
                .add(ended);
    }

    /** Returns the ends of a job that has become known, and forgets them. */
    List<EndedRun> take(String jobId) {
        List<EndedRun> ends = byJob.remove(jobId);
        return ends == null ? List.of() : ends;
    }
}
