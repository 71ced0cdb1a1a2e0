package io.radishspindle.ownership;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import java.util.BitSet;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * State of the jobs of a group as the journal has it. Not thread-safe.
 *
 * <p>Invariant: replaying a segment over a state that already contains it changes nothing but the count of failed
 * attempts; segments are therefore replayed at most once after their snapshot.
 */
final class JobTable {
    /** Ended jobs that stay known for status queries; bounds the snapshot. */
    private static final int MAX_ENDED = 500;

    private final LinkedHashMap<String, Job> jobs = new LinkedHashMap<>();
    private int ended;

    /** One job. */
    static final class Job {
        final JobSpec spec;
        final BitSet completed;
        int failedAttempts;
        boolean cancelled;
        String phase;
        String text;

        Job(JobSpec spec, BitSet completed, int failedAttempts, boolean cancelled, String phase, String text) {
            this.spec = spec;
            this.completed = completed;
            this.failedAttempts = failedAttempts;
            this.cancelled = cancelled;
            this.phase = phase;
            this.text = text;
        }

        boolean active() {
            return phase.isEmpty() && !cancelled;
        }

        JobStatus status(String group) {
            JobStatus.Phase shown = cancelled && phase.isEmpty()
                    ? JobStatus.Phase.CANCELLED
                    : phase.isEmpty() ? JobStatus.Phase.WAITING : JobStatus.Phase.valueOf(phase);
            int succeeded = completed.cardinality();
            return new JobStatus(
                    spec.id(),
                    group,
                    spec.team(),
                    spec.jobClass(),
                    shown,
                    spec.tasks(),
                    0,
                    0,
                    0,
                    succeeded,
                    failedAttempts,
                    0,
                    text);
        }
    }

    static JobTable of(JournalSnapshot snapshot) {
        JobTable table = new JobTable();
        for (JournalSnapshot.Job job : snapshot.jobs()) {
            BitSet completed = BitSet.valueOf(job.completed());
            table.jobs.put(
                    job.spec().id(),
                    new Job(job.spec(), completed, job.failedAttempts(), job.cancelled(), job.phase(), job.text()));
            if (!job.phase().isEmpty()) {
                table.ended++;
            }
        }
        return table;
    }

    List<JournalSnapshot.Job> toSnapshot() {
        return jobs.values().stream()
                .map(job -> new JournalSnapshot.Job(
                        job.spec, job.completed.toByteArray(), job.failedAttempts, job.cancelled, job.phase, job.text))
                .toList();
    }

    Optional<Job> find(String jobId) {
        return Optional.ofNullable(jobs.get(jobId));
    }

    Collection<Job> all() {
        return jobs.values();
    }

    List<Job> active() {
        return jobs.values().stream().filter(Job::active).collect(Collectors.toList());
    }

    void apply(JournalEntry entry) {
        if (entry.kind() == JournalEntry.Kind.ACCEPTED) {
            accept(entry);
            return;
        }
        Job job = jobs.get(entry.jobId());
        if (job == null) {
            return;
        }
        switch (entry.kind()) {
            case COMPLETED -> job.completed.set(entry.index());
            case FAILED -> job.failedAttempts++;
            case CANCELLED -> job.cancelled = true;
            case ENDED -> end(job, entry);
            case ACCEPTED -> throw new IllegalStateException("handled above");
        }
    }

    private void accept(JournalEntry entry) {
        JobSpec spec = entry.job();
        if (spec != null) {
            jobs.putIfAbsent(spec.id(), new Job(spec, new BitSet(), 0, false, "", ""));
        }
    }

    private void end(Job job, JournalEntry entry) {
        if (job.phase.isEmpty()) {
            ended++;
        }
        job.phase = entry.detail();
        job.text = entry.text();
        if (ended > MAX_ENDED) {
            forgetOldestEnded();
        }
    }

    private void forgetOldestEnded() {
        for (Map.Entry<String, Job> entry : jobs.entrySet()) {
            if (!entry.getValue().phase.isEmpty()) {
                jobs.remove(entry.getKey());
                ended--;
                return;
            }
        }
    }
}
