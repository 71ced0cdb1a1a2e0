package io.radishspindle.model;

/**
 * One task of a job. Immutable and thread-safe.
 *
 * @param index position within the job, from 0
 */
public record TaskId(String jobId, int index) {
    @Override
    public String toString() {
        return jobId + "/" + index;
    }
}
