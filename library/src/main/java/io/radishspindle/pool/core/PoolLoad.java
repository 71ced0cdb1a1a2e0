package io.radishspindle.pool.core;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;

/**
 * Usage of a pool and number of waiting and running tasks, for the log. Immutable and thread-safe.
 *
 * @param usable workers that can receive new runs
 * @param usedMilliCores processor time reserved on usable workers, in thousandths of a core
 * @param milliCores capacity of usable workers, in thousandths of a core
 * @param waitingByPriority tasks of ready steps without a run
 * @param runningByPriority tasks with a run
 * @param withoutTickets ready steps that wait for advice before any task can start
 */
public record PoolLoad(
        int workers,
        int usable,
        long usedMilliCores,
        long milliCores,
        long usedAccelerators,
        long accelerators,
        Map<Integer, Long> waitingByPriority,
        Map<Integer, Long> runningByPriority,
        int withoutTickets) {

    static PoolLoad of(Collection<WorkerState> workers, Collection<StepState> ready, long nowMs) {
        int usable = 0;
        long used = 0;
        long total = 0;
        long usedAccelerators = 0;
        long accelerators = 0;
        Map<Integer, Long> running = new TreeMap<>();
        for (WorkerState worker : workers) {
            if (worker.isUsable(nowMs)) {
                usable++;
                used += worker.used.milliCores();
                total += worker.entry.capacity().milliCores();
                usedAccelerators += worker.used.accelerators();
                accelerators += worker.entry.capacity().accelerators();
            }
            for (RunState run : worker.runs.values()) {
                if (run.task != null) {
                    running.merge(run.task.step.job.job.priority(), 1L, Long::sum);
                }
            }
        }
        Map<Integer, Long> waiting = new TreeMap<>();
        int withoutTickets = 0;
        for (StepState step : ready) {
            waiting.merge(step.job.job.priority(), step.waitingTasks(), Long::sum);
            if (step.job.job.advice() != null && step.tickets.isEmpty()) {
                withoutTickets++;
            }
        }
        return new PoolLoad(
                workers.size(), usable, used, total, usedAccelerators, accelerators, waiting, running, withoutTickets);
    }
}
