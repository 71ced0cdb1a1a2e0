package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobProgress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What of a pool's progress has to be written, and what is durable. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: an end may be acknowledged only after all progress that was due when it was taken over is durable.
 */
public final class ProgressLedger {
    private final Map<String, JobState> jobs;
    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;

    ProgressLedger(Map<String, JobState> jobs, Map<String, WorkerState> workers, Set<JobState> dirty) {
        this.jobs = jobs;
        this.workers = workers;
        this.dirty = dirty;
    }

    /** Progress to be written, with the ends that may be acknowledged once it is. */
    public record Batch(Map<String, JobProgress> progress, Map<String, Long> sequences) {}

    /** Whether progress waits to be written. */
    public boolean hasDirty() {
        return !dirty.isEmpty() || workers.values().stream().anyMatch(w -> w.seenSequence > w.durableSequence);
    }

    /** Whether the end of a job waits to be written, which callers wait for. */
    public boolean hasDirtyEnds() {
        return dirty.stream().anyMatch(job -> job.phase.isFinal());
    }

    /** Takes at most {@code limit} jobs whose progress has to be written; the rest stays for the next batch. */
    public Batch take(int limit) {
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        List<JobState> taken = new ArrayList<>();
        dirty.stream().filter(job -> job.phase.isFinal()).limit(limit).forEach(taken::add);
        dirty.stream()
                .filter(job -> !job.phase.isFinal())
                .limit(limit - taken.size())
                .forEach(taken::add);
        taken.forEach(job -> progress.put(job.job.id(), job.progress()));
        taken.forEach(dirty::remove);
        Map<String, Long> sequences = new HashMap<>();
        if (dirty.isEmpty()) {
            workers.forEach((id, worker) -> sequences.put(id, worker.seenSequence));
        }
        return new Batch(progress, sequences);
    }

    /** The batch has become durable. */
    public void written(Batch batch, Map<String, Long> bootsAtTake) {
        batch.progress().forEach((id, progress) -> {
            JobState job = jobs.get(id);
            if (job != null && progress.phase().isFinal()) {
                job.durablePhase = progress.phase();
            }
        });
        batch.sequences().forEach((id, sequence) -> {
            WorkerState worker = workers.get(id);
            if (worker != null && bootsAtTake.getOrDefault(id, -1L) == worker.bootWallMs) {
                worker.durableSequence = Math.max(worker.durableSequence, sequence);
            }
        });
    }

    /** The batch could not be written; its jobs are written again. */
    public void notWritten(Batch batch) {
        batch.progress().keySet().forEach(id -> {
            JobState job = jobs.get(id);
            if (job != null) {
                dirty.add(job);
            }
        });
    }

    /** Start times of all workers, which tell one life from the next. */
    public Map<String, Long> boots() {
        Map<String, Long> boots = new HashMap<>();
        workers.forEach((id, worker) -> boots.put(id, worker.bootWallMs));
        return boots;
    }
}
