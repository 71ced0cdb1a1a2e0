package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;

/** Decides how much is charged for a task. Not thread-safe. */
final class Sizing {
    private final WorkerTable workers;

    Sizing(WorkerTable workers) {
        this.workers = workers;
    }

    /**
     * The declared size, raised to the usage observed for the family. If a task, or a whole gang, of the raised size
     * would not fit on the empty workers, the declared size is kept, because a job that was accepted must be able to
     * start.
     */
    Resources demandOf(JobState job) {
        Resources declared = job.spec.perTask();
        Resources observed = job.family.demandFor(declared);
        if (observed.equals(declared)) {
            return declared;
        }
        int taskCount = job.isGang() ? job.spec.tasks() : 1;
        return capacityFor(observed, taskCount) >= taskCount ? observed : declared;
    }

    /** Returns how many tasks with this demand fit on all workers when empty, counted up to {@code atMost}. */
    int capacityFor(Resources demand, int atMost) {
        int count = 0;
        for (WorkerState worker : workers.all()) {
            if (worker.condition != WorkerState.Condition.LEAVING && worker.condition != WorkerState.Condition.LOST) {
                count += WorkerTable.fitCount(demand, worker.info.capacity(), atMost - count);
            }
            if (count >= atMost) {
                return count;
            }
        }
        return count;
    }

    /** For each resource the largest amount that any known worker has. */
    Resources largestAmounts() {
        Resources largest = Resources.NONE;
        for (WorkerState worker : workers.all()) {
            if (worker.condition != WorkerState.Condition.LOST) {
                largest = Family.max(largest, worker.info.capacity());
            }
        }
        return largest;
    }
}
