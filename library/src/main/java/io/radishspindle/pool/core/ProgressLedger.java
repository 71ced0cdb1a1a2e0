package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobProgress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What of a pool's progress has to be written, and what is durable. Several batches may be under way at once, and may
 * become durable in any order. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: an end may be acknowledged only after all progress that was due when it was taken over is durable.
 */
public final class ProgressLedger {
    private final Map<String, JobState> jobs;
    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;
    /** Numbers of the batches without an outcome. */
    private final TreeSet<Long> underWay = new TreeSet<>();
    /** Oldest first; each waits for all batches up to its number. */
    private final Deque<TakenOver> takenOver = new ArrayDeque<>();

    private long lastBatch;

    ProgressLedger(Map<String, JobState> jobs, Map<String, WorkerState> workers, Set<JobState> dirty) {
        this.jobs = jobs;
        this.workers = workers;
        this.dirty = dirty;
    }

    /** Progress to be written, by job; batches are numbered in the order in which they were taken. */
    public record Batch(long number, Map<String, JobProgress> progress) {}

    /** Ends whose effect is in the batches up to a number, as the highest sequence number of each worker's life. */
    private record TakenOver(long upToBatch, Map<String, Long> sequences, Map<String, Long> boots) {}

    /** Whether progress of a job that is not in {@code underWay} waits to be written. */
    public boolean hasDirty(Set<String> underWay) {
        return dirty.stream().anyMatch(job -> !underWay.contains(job.job.id()));
    }

    /** Whether ends wait to become durable. */
    public boolean hasUnacknowledged() {
        return workers.values().stream().anyMatch(w -> w.seenSequence > w.durableSequence);
    }

    /** Whether the end of a job waits to be written, which callers wait for. */
    public boolean hasDirtyEnds() {
        return dirty.stream().anyMatch(job -> job.phase.isFinal());
    }

    /**
     * Takes at most {@code limit} jobs whose progress has to be written, ended ones first; the rest stays for the next
     * batch.
     *
     * @param underWay jobs of earlier batches without an outcome, which are left out
     */
    public Batch take(int limit, Set<String> underWay) {
        List<JobState> taken = new ArrayList<>();
        addDirty(taken, true, limit, underWay);
        addDirty(taken, false, limit - taken.size(), underWay);
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        taken.forEach(job -> progress.put(job.job.id(), job.progress()));
        taken.forEach(dirty::remove);
        Batch batch = new Batch(++lastBatch, progress);
        this.underWay.add(batch.number());
        if (dirty.isEmpty()) {
            takenOver.add(endsUpTo(batch.number()));
        }
        return batch;
    }

    private void addDirty(List<JobState> taken, boolean ended, int limit, Set<String> underWay) {
        dirty.stream()
                .filter(job -> job.phase.isFinal() == ended && !underWay.contains(job.job.id()))
                .limit(limit)
                .forEach(taken::add);
    }

    private TakenOver endsUpTo(long batch) {
        Map<String, Long> sequences = new HashMap<>();
        Map<String, Long> boots = new HashMap<>();
        workers.forEach((id, worker) -> {
            sequences.put(id, worker.seenSequence);
            boots.put(id, worker.bootWallMs);
        });
        return new TakenOver(batch, sequences, boots);
    }

    /** The batch has become durable. */
    public void onWritten(Batch batch) {
        batch.progress().forEach((id, progress) -> {
            JobState job = jobs.get(id);
            if (job != null && progress.phase().isFinal()) {
                job.durablePhase = progress.phase();
            }
        });
        underWay.remove(batch.number());
        long durableUpTo = underWay.isEmpty() ? lastBatch : underWay.first() - 1;
        while (!takenOver.isEmpty() && takenOver.peek().upToBatch() <= durableUpTo) {
            acknowledge(takenOver.remove());
        }
    }

    private void acknowledge(TakenOver ends) {
        ends.sequences().forEach((id, sequence) -> {
            WorkerState worker = workers.get(id);
            if (worker != null && ends.boots().getOrDefault(id, -1L) == worker.bootWallMs) {
                worker.durableSequence = Math.max(worker.durableSequence, sequence);
            }
        });
    }

    /** The batch could not be written; its jobs are written again, and the ends that it was due to wait for them. */
    public void onWriteFailed(Batch batch) {
        underWay.remove(batch.number());
        takenOver.removeIf(ends -> ends.upToBatch() >= batch.number());
        batch.progress().keySet().forEach(id -> {
            JobState job = jobs.get(id);
            if (job != null) {
                dirty.add(job);
            }
        });
    }
}
