package io.radishspindle.ownership;

import io.radishspindle.model.JobSpec;
import java.util.List;

/**
 * Value of the snapshot key: the state of all jobs after segment {@code upTo}. Immutable and thread-safe.
 */
record JournalSnapshot(long epoch, long upTo, String changeId, List<Job> jobs) {
    JournalSnapshot {
        jobs = List.copyOf(jobs);
    }

    /** A job; {@code phase} is empty while it is not final. */
    record Job(JobSpec spec, byte[] completed, int failedAttempts, boolean cancelled, String phase, String text) {}
}
