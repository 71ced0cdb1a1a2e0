package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps tasks that use left-over processor time away from tasks that serve within a response-time target, since they
 * disturb them by amounts that nobody knows in advance. Stateless; thread-safe.
 */
final class FillGuard {
    private FillGuard() {}

    /** Whether the step may join the runs of the worker. */
    static boolean mayShare(StepState step, WorkerState worker) {
        if (!step.spec.fills()) {
            return true;
        }
        return worker.runs.values().stream().noneMatch(FillGuard::serves);
    }

    /** Filling runs beside a serving one; they are stopped. */
    static List<RunState> intruders(WorkerState worker) {
        List<RunState> found = new ArrayList<>();
        if (worker.runs.values().stream().anyMatch(FillGuard::serves)) {
            for (RunState run : worker.runs.values()) {
                if (run.task != null && run.task.step.spec.fills()) {
                    found.add(run);
                }
            }
        }
        return found;
    }

    private static boolean serves(RunState run) {
        return run.task != null && run.task.step.spec.targetMs() > 0;
    }
}
