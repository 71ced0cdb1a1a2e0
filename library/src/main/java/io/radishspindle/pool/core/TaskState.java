package io.radishspindle.pool.core;

import io.radishspindle.pool.model.TaskName;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * One task of an open job. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: {@code run} is set while a worker holds or may hold a run of the task.
 */
final class TaskState {
    final TaskName name;
    final StepState step;
    boolean done;
    /** Highest number of a start that is known. */
    int attempts;

    /** Attempts that ended as failed; a set, as an end is listed again after a change of the owner. */
    final Set<Integer> failedAttempts = new TreeSet<>();
    /** Ends in a row that were not successes, for the restart pause of lasting tasks. */
    int endsInRow;

    String checkpoint = "";
    long notBeforeMs;

    @Nullable
    String failedWorker;

    @Nullable
    RunState run;

    TaskState(TaskName name, StepState step) {
        this.name = name;
        this.step = step;
    }

    boolean isWaiting() {
        return !done && run == null;
    }
}
