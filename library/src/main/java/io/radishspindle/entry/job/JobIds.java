package io.radishspindle.entry.job;

import java.util.Optional;

/**
 * Job ids of the form {@code <data centre>.<group name>.<suffix>}, so that any entry VM finds the group of a job
 * without a lookup. Stateless and thread-safe.
 */
final class JobIds {
    private static final char SEPARATOR = '.';

    private JobIds() {}

    /** Builds an id; {@code group} has the form {@code <data centre>/<group name>}. */
    static String create(String group, String suffix) {
        return group.replace('/', SEPARATOR) + SEPARATOR + suffix;
    }

    /** The group of a job, or nothing if the id is not one of ours. */
    static Optional<String> groupOf(String jobId) {
        int first = jobId.indexOf(SEPARATOR);
        int second = jobId.indexOf(SEPARATOR, first + 1);
        if (first <= 0 || second <= first + 1) {
            return Optional.empty();
        }
        return Optional.of(jobId.substring(0, first) + "/" + jobId.substring(first + 1, second));
    }
}
