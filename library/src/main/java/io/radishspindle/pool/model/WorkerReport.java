package io.radishspindle.pool.model;

import java.util.List;

/**
 * A worker's report on its runs. Immutable and thread-safe.
 *
 * @param bootWallMs Unix milliseconds of the worker's start; identifies its incarnation
 * @param clockMs the worker's monotonic clock in milliseconds
 * @param isComplete whether {@code ended} has all ends that are not acknowledged, rather than the first of them only
 */
public record WorkerReport(
        long bootWallMs, long clockMs, List<RunningTask> running, List<EndedRun> ended, boolean isComplete) {
    public WorkerReport {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /** A complete report. */
    public WorkerReport(long bootWallMs, long clockMs, List<RunningTask> running, List<EndedRun> ended) {
        this(bootWallMs, clockMs, running, ended, true);
    }

    /**
     * A run that the worker is executing.
     *
     * @param checkpoint latest checkpoint; empty if there is none
     * @param pacePercent speed limit of the task in percent, 0 to 100
     * @param gauge processor use in thousandths of a core; for a serving task its tail response time in
     *     milliseconds; -1 if unknown
     */
    public record RunningTask(Run run, String checkpoint, int pacePercent, long gauge) {}

    /**
     * A run whose end has not been acknowledged yet.
     *
     * @param sequence number of the end within the worker's incarnation, from 1
     * @param checkpoint latest checkpoint; empty if there is none
     */
    public record EndedRun(long sequence, Run run, RunEnd end, String checkpoint) {}
}
