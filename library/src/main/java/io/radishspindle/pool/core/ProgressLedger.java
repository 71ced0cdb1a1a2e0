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
 * Tracks which progress of a pool has to be written and which is durable. Several batches may be in flight at once,
 * and may become durable in any order. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: an end may be acknowledged only after all progress that was unwritten when it was applied is durable.
 */
public final class ProgressLedger {
    private final Map<String, JobState> jobs;
    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;
    /** Numbers of the batches whose outcome is not known yet. */
    private final TreeSet<Long> inFlight = new TreeSet<>();
    /** Ends to acknowledge, oldest first; each entry waits for all batches up to its number. */
    private final Deque<PendingAcknowledgement> pendingAcknowledgements = new ArrayDeque<>();

    private long lastBatch;

    ProgressLedger(Map<String, JobState> jobs, Map<String, WorkerState> workers, Set<JobState> dirty) {
        this.jobs = jobs;
        this.workers = workers;
        this.dirty = dirty;
    }

    /** Progress to write, by job id; batches are numbered in the order in which they were taken. */
    public record Batch(long number, Map<String, JobProgress> progress) {}

    /** Ends covered by the batches up to a number: the highest sequence number and the boot time of each worker. */
    private record PendingAcknowledgement(long upToBatch, Map<String, Long> sequences, Map<String, Long> boots) {}

    /** Returns whether progress of a job that is not in {@code inFlight} has to be written. */
    public boolean hasDirty(Set<String> inFlight) {
        return dirty.stream().anyMatch(job -> !inFlight.contains(job.job.id()));
    }

    /** Returns whether ends wait to become durable. */
    public boolean hasUnacknowledged() {
        return workers.values().stream().anyMatch(w -> w.appliedSequence > w.durableSequence);
    }

    /** Returns whether the end of a job, for which callers may wait, has to be written. */
    public boolean hasDirtyEnds() {
        return dirty.stream().anyMatch(job -> job.phase.isFinal());
    }

    /**
     * Takes a batch of at most {@code limit} jobs with unwritten progress, ended jobs first; the rest stays for the
     * next batch.
     *
     * @param inFlight jobs of earlier batches in flight, which are left out
     */
    public Batch take(int limit, Set<String> inFlight) {
        List<JobState> taken = new ArrayList<>();
        addDirty(taken, true, limit, inFlight);
        addDirty(taken, false, limit - taken.size(), inFlight);
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        taken.forEach(job -> progress.put(job.job.id(), job.progress()));
        taken.forEach(dirty::remove);
        Batch batch = new Batch(++lastBatch, progress);
        this.inFlight.add(batch.number());
        if (dirty.isEmpty()) {
            pendingAcknowledgements.add(endsCoveredBy(batch.number()));
        }
        return batch;
    }

    private void addDirty(List<JobState> taken, boolean ended, int limit, Set<String> inFlight) {
        dirty.stream()
                .filter(job -> job.phase.isFinal() == ended && !inFlight.contains(job.job.id()))
                .limit(limit)
                .forEach(taken::add);
    }

    private PendingAcknowledgement endsCoveredBy(long batch) {
        Map<String, Long> sequences = new HashMap<>();
        Map<String, Long> boots = new HashMap<>();
        workers.forEach((id, worker) -> {
            sequences.put(id, worker.appliedSequence);
            boots.put(id, worker.bootWallMs);
        });
        return new PendingAcknowledgement(batch, sequences, boots);
    }

    /** Applies that the batch has become durable, and acknowledges the ends that waited for it. */
    public void onWritten(Batch batch) {
        batch.progress().forEach((id, progress) -> {
            JobState job = jobs.get(id);
            if (job != null) {
                job.onDurable(progress);
                if (progress.phase().isFinal()) {
                    job.durablePhase = progress.phase();
                }
            }
        });
        inFlight.remove(batch.number());
        long durableUpTo = inFlight.isEmpty() ? lastBatch : inFlight.first() - 1;
        while (!pendingAcknowledgements.isEmpty()
                && pendingAcknowledgements.peek().upToBatch() <= durableUpTo) {
            acknowledge(pendingAcknowledgements.remove());
        }
    }

    private void acknowledge(PendingAcknowledgement ends) {
        ends.sequences().forEach((id, sequence) -> {
            WorkerState worker = workers.get(id);
            if (worker != null && ends.boots().getOrDefault(id, -1L) == worker.bootWallMs) {
                worker.durableSequence = Math.max(worker.durableSequence, sequence);
            }
        });
    }

    /** Marks the jobs of a batch that could not be written as dirty again; dependent ends stay unacknowledged. */
    public void onWriteFailed(Batch batch) {
        inFlight.remove(batch.number());
        pendingAcknowledgements.removeIf(ends -> ends.upToBatch() >= batch.number());
        batch.progress().keySet().forEach(id -> {
            JobState job = jobs.get(id);
            if (job != null) {
                dirty.add(job);
            }
        });
    }
}
