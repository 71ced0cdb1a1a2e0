package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** Figures of a replay; those of several groups can be added. Not thread-safe. */
final class ReplayStats {
    private static final int DIGITS = 3;

    final Map<JobClass, Histogram> waitMs = new EnumMap<>(JobClass.class);
    /** Time of the calls in which at least one task was started, in nanoseconds. */
    final Histogram decisionNs = new Histogram(DIGITS);

    long decisions;
    long coreNs;
    long unstarted;
    long failedTasks;
    long stoppedForOthers;
    long reclaimed;
    long outOfMemory;
    long quarantines;
    /** Sums over the samples: busy, and what could have been busy. */
    private final double[] busy = new double[3];

    private final double[] attainable = new double[3];
    private final double[] workerSamples = new double[2];

    ReplayStats() {
        for (JobClass jobClass : JobClass.values()) {
            waitMs.put(jobClass, new Histogram(DIGITS));
        }
    }

    Histogram waits(JobClass jobClass) {
        return waitMs.computeIfAbsent(jobClass, c -> new Histogram(DIGITS));
    }

    /**
     * Counts a sample: what waits could make more of each resource busy, up to the capacity. A task counts with its
     * true need, the declared size or the usage where that is higher; a worker counts with its capacity at most.
     */
    void samplePacking(Resources running, Resources waiting, Resources capacity) {
        sample(0, running.milliCores(), waiting.milliCores(), capacity.milliCores());
        sample(1, running.memoryMib(), waiting.memoryMib(), capacity.memoryMib());
        sample(2, running.accelerators(), waiting.accelerators(), capacity.accelerators());
    }

    private void sample(int i, double running, double waiting, double capacity) {
        if (waiting > 0 && capacity > 0) {
            busy[i] += running / capacity;
            attainable[i] += Math.min(capacity, running + waiting) / capacity;
        }
    }

    void sampleOverfill(boolean overfilled) {
        workerSamples[0] += overfilled ? 1 : 0;
        workerSamples[1]++;
    }

    /** Part of the attainable use that was reached while work waited; 1 if none waited. */
    double packing(int resource) {
        return attainable[resource] == 0 ? 1 : busy[resource] / attainable[resource];
    }

    double overfilledPart() {
        return workerSamples[1] == 0 ? 0 : workerSamples[0] / workerSamples[1];
    }

    double decisionsPerSecond() {
        return coreNs == 0 ? 0 : decisions * 1e9 / coreNs;
    }

    void add(ReplayStats other) {
        other.waitMs.forEach((jobClass, histogram) -> waits(jobClass).add(histogram));
        decisionNs.add(other.decisionNs);
        decisions += other.decisions;
        coreNs += other.coreNs;
        unstarted += other.unstarted;
        failedTasks += other.failedTasks;
        reclaimed += other.reclaimed;
        stoppedForOthers += other.stoppedForOthers;
        outOfMemory += other.outOfMemory;
        quarantines += other.quarantines;
        for (int i = 0; i < busy.length; i++) {
            busy[i] += other.busy[i];
            attainable[i] += other.attainable[i];
        }
        workerSamples[0] += other.workerSamples[0];
        workerSamples[1] += other.workerSamples[1];
    }
}
