package io.radishspindle.pool.model;

import java.util.Optional;

/**
 * Identifies one task of a job. Immutable and thread-safe.
 *
 * @param occurrence number of the repetition, from 0
 * @param step index of the step within the job
 * @param index position within the step, from 0
 */
public record TaskName(String jobId, int occurrence, int step, int index) {
    private static final int PARTS = 4;

    /** Parses the result of {@link #toString}; empty if the text is malformed. */
    public static Optional<TaskName> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new TaskName(
                    parts[0], Integer.parseInt(parts[1]), Integer.parseInt(parts[2]), Integer.parseInt(parts[3])));
        } catch (NumberFormatException e) {
            // The exception is dropped, as the caller reports the whole text.
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + step + "." + index;
    }
}
