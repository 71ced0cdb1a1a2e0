package io.radishspindle.model;

/**
 * State of a job as its group owner knows it. Immutable and thread-safe.
 *
 * @param group {@code <data centre>/<group name>}
 * @param waiting tasks that wait for a worker
 * @param open tasks of which it is not known whether they still run, after the loss of a worker or owner
 * @param explanation one true sentence: why the job waits, or how it ended
 * @param longestWaitMs longest time that a task of the job has waited for its first start, in milliseconds
 */
public record JobStatus(
        String jobId,
        String group,
        String team,
        JobClass jobClass,
        Phase phase,
        int tasks,
        int waiting,
        int open,
        int running,
        int succeeded,
        int failed,
        long longestWaitMs,
        String explanation) {

    /** The same status with another group. */
    public JobStatus withGroup(String newGroup) {
        return new JobStatus(
                jobId,
                newGroup,
                team,
                jobClass,
                phase,
                tasks,
                waiting,
                open,
                running,
                succeeded,
                failed,
                longestWaitMs,
                explanation);
    }

    /** Life cycle of a job. */
    public enum Phase {
        WAITING,
        RUNNING,
        SUCCEEDED,
        FAILED,
        CANCELLED,
        /** Cannot run or always fails; needs a change by its submitter. */
        SET_ASIDE;

        public boolean isFinal() {
            return this != WAITING && this != RUNNING;
        }
    }
}
