package io.radishspindle.ownership;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.radishspindle.model.JobSpec;
import org.jspecify.annotations.Nullable;

/**
 * One entry of a journal segment. Immutable and thread-safe.
 *
 * @param job the accepted job; null for the other kinds
 * @param index index of the task; 0 if the entry is about the whole job
 * @param detail phase of an ended job; empty for the other kinds
 * @param text explanation of an ended job; empty for the other kinds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record JournalEntry(Kind kind, String jobId, int index, @Nullable JobSpec job, String detail, String text) {
    /** What the entry says. */
    enum Kind {
        ACCEPTED,
        COMPLETED,
        FAILED,
        CANCELLED,
        ENDED
    }

    static JournalEntry accepted(JobSpec job) {
        return new JournalEntry(Kind.ACCEPTED, job.id(), 0, job, "", "");
    }

    static JournalEntry completed(String jobId, int index) {
        return new JournalEntry(Kind.COMPLETED, jobId, index, null, "", "");
    }

    static JournalEntry failed(String jobId, int index) {
        return new JournalEntry(Kind.FAILED, jobId, index, null, "", "");
    }

    static JournalEntry cancelled(String jobId) {
        return new JournalEntry(Kind.CANCELLED, jobId, 0, null, "", "");
    }

    static JournalEntry ended(String jobId, String phase, String text) {
        return new JournalEntry(Kind.ENDED, jobId, 0, null, phase, text);
    }

    /** Whether somebody waits for the entry; other entries may wait longer for company. */
    boolean urgent() {
        return kind == Kind.ACCEPTED || kind == Kind.CANCELLED;
    }
}
