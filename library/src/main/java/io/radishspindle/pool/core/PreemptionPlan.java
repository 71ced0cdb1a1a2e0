package io.radishspindle.pool.core;

import java.util.List;
import java.util.Locale;

/**
 * Runs to stop for waiting tasks of a step, and the workers on which the tasks will start. Immutable and thread-safe.
 *
 * @param rooms the worker of each task; a worker that takes several tasks occurs several times
 * @param lostCoreMs work lost by the stops, in milliseconds of one core
 * @param gainedCoreMs work of the tasks that will start
 */
record PreemptionPlan(List<WorkerRoom> rooms, List<RunState> victims, double lostCoreMs, double gainedCoreMs) {
    static final PreemptionPlan NONE = new PreemptionPlan(List.of(), List.of(), 0, 0);

    PreemptionPlan {
        rooms = List.copyOf(rooms);
        victims = List.copyOf(victims);
    }

    boolean isEmpty() {
        return rooms.isEmpty();
    }

    boolean isBetterThan(PreemptionPlan other) {
        return rooms.size() > other.rooms.size()
                || (rooms.size() == other.rooms.size() && lostCoreMs < other.lostCoreMs);
    }

    /** Reason of the stops for the log. */
    String reason(StepState step) {
        String kind = step.spec.gang() ? "gang " : "";
        return String.format(
                Locale.ROOT,
                "preempted for %s%s: %d stops for %d tasks lose %.1f core-s for %.1f core-s",
                kind,
                step.name(),
                victims.size(),
                rooms.size(),
                lostCoreMs / 1_000,
                gainedCoreMs / 1_000);
    }
}
