package io.radishspindle.pool.model;

import java.util.List;

/**
 * What a worker says of its runs. Immutable and thread-safe.
 *
 * @param bootWallMs Unix milliseconds of the worker's start; tells one life of a worker from the next
 * @param clockMs the worker's own steady clock in milliseconds
 */
public record WorkerReport(long bootWallMs, long clockMs, List<RunningTask> running, List<EndedRun> ended) {
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run that is present on the worker.
     *
     * @param checkpoint newest saved progress; empty if there is none
     * @param pacePercent share at which the task may work, 0 to 100
     * @param gauge processor use in thousandths of a core; for a serving task the tail of its response times in
     *     milliseconds; -1 if unknown
     */
    public record RunningTask(Run run, String checkpoint, int pacePercent, long gauge) {}

    /**
     * A run that has ended and whose end has not been acknowledged.
     *
     * @param sequence number of the end within the worker's life, from 1
     * @param checkpoint newest saved progress; empty if there is none
     */
    public record EndedRun(long sequence, Run run, RunEnd end, String checkpoint) {}
}
