package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.Collection;

/** Rates the workers on which a task could start; a lower score is better. Used for one pass; not thread-safe. */
final class PlacementScore {
    /** Granularity of capacity in the score: workers that differ by less count as equal. */
    private static final double CAPACITY_STEP = 0.05;

    /** Outweighs that tasks prefer workers on which others run. */
    private static final double LOSS_WEIGHT = 4;

    /** Costs less than a worker a quarter of which is in use, as the runs there would be lost. */
    private static final double CRASHED_BEFORE_PENALTY = 1;

    private final long largestMilliCores;
    private final int largestAccelerators;

    PlacementScore(Collection<WorkerState> workers) {
        long milliCores = 1;
        int accelerators = 1;
        for (WorkerState worker : workers) {
            milliCores = Math.max(milliCores, worker.entry.capacity().milliCores());
            accelerators = Math.max(accelerators, worker.entry.capacity().accelerators());
        }
        largestMilliCores = milliCores;
        largestAccelerators = accelerators;
    }

    double of(TaskState task, WorkerState worker) {
        StepState step = task.step;
        // Lasting and filling tasks go to the least used workers. Others go where the least capacity of all is left, so
        // that small workers fill up first and large tasks find the large ones.
        boolean spread = step.spec.lasting() || step.spec.fills();
        double score =
                Math.round((spread ? usedShare(worker) : freeShareOfLargest(worker)) / CAPACITY_STEP) * CAPACITY_STEP;
        score += 3 * Math.max(0, worker.health.slowness() - 1);
        if (worker.health.isSlow()) {
            score += 10;
        }
        if (worker.id().equals(task.failedWorker)) {
            score += 5;
        }
        if (!step.spec.rack().isEmpty() && !step.spec.rack().equals(worker.entry.rack())) {
            score += 4;
        }
        if (step.spec.lasting()) {
            score += step.tasksOn(worker.id());
        }
        return score;
    }

    /** Prefers workers on which little is lost if they crash, then others than those that have crashed before. */
    double ofTrial(TaskState task, WorkerState worker) {
        double score = of(task, worker) + LOSS_WEIGHT * usedShareOfAnyResource(worker);
        return task.crashRecord().crashedAt(worker.address()) ? score + CRASHED_BEFORE_PENALTY : score;
    }

    /** Unlike {@link #usedShare}, also what tasks without accelerators use of a worker that has some. */
    private static double usedShareOfAnyResource(WorkerState worker) {
        Resources used = worker.used;
        Resources capacity = worker.entry.capacity();
        double cores = share(used.milliCores(), capacity.milliCores());
        double memory = share(used.memoryMib(), capacity.memoryMib());
        return Math.max(Math.max(cores, memory), share(used.accelerators(), capacity.accelerators()));
    }

    private static double share(long used, long capacity) {
        return capacity == 0 ? 0 : (double) used / capacity;
    }

    private static double usedShare(WorkerState worker) {
        Resources capacity = worker.entry.capacity();
        if (capacity.accelerators() > 0) {
            return (double) worker.used.accelerators() / capacity.accelerators();
        }
        return capacity.milliCores() == 0 ? 1 : (double) worker.used.milliCores() / capacity.milliCores();
    }

    /** Free capacity relative to the largest worker of the pool, in the resource that is scarce on the worker. */
    private double freeShareOfLargest(WorkerState worker) {
        Resources capacity = worker.entry.capacity();
        if (capacity.accelerators() > 0) {
            return (double) (capacity.accelerators() - worker.used.accelerators()) / largestAccelerators;
        }
        return (double) (capacity.milliCores() - worker.used.milliCores()) / largestMilliCores;
    }
}
