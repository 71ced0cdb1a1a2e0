package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps tasks that use idle processor time ({@code fills}) off workers with tasks that have a response-time target,
 * since their interference can't be predicted. Stateless; thread-safe.
 */
final class FillGuard {
    private FillGuard() {}

    /** Returns whether tasks of the step may run beside the current runs of the worker. */
    static boolean mayRunOn(StepState step, WorkerState worker) {
        if (!step.spec.fills()) {
            return true;
        }
        return worker.runs.values().stream().noneMatch(FillGuard::isServing);
    }

    /** Returns the filling runs of a worker that also has a serving run; they have to be stopped. */
    static List<RunState> fillRunsToStop(WorkerState worker) {
        List<RunState> found = new ArrayList<>();
        if (worker.runs.values().stream().anyMatch(FillGuard::isServing)) {
            for (RunState run : worker.runs.values()) {
                if (run.task != null && run.task.step.spec.fills()) {
                    found.add(run);
                }
            }
        }
        return found;
    }

    private static boolean isServing(RunState run) {
        return run.task != null && run.task.step.spec.targetMs() > 0;
    }
}
