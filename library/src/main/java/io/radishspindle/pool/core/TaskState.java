package io.radishspindle.pool.core;

import io.radishspindle.pool.model.TaskName;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The state of one task. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: {@code run} is set while a worker executes or may execute a run of the task.
 */
final class TaskState {
    final TaskName name;
    final StepState step;
    boolean done;
    /** Highest attempt number known. */
    int lastAttempt;

    /** Attempts that have failed; a set, as workers report an end again after a takeover. */
    final Set<Integer> failedAttempts = new TreeSet<>();
    /** Runs that ended with their worker, under this owner; for the log. */
    int lostRuns;
    /** Consecutive ends of a lasting task as done or failed, for its restart backoff. */
    int consecutiveEnds;

    /** Use {@link #crashRecord}, which also covers gangs. */
    private final CrashRecord crashes = new CrashRecord();

    /** Value of {@link #waitsSinceMs} for a task that doesn't wait, as far as is known. */
    static final long NOT_WAITING = -1;

    /** For the log: since when the task waits. */
    long waitsSinceMs = NOT_WAITING;
    /** For the log: when the wait of the task may be reported again. */
    long reportDueMs;

    private boolean survivedStart;

    String checkpoint = "";
    long earliestStartMs;
    /** Whether a run of the task was stopped for a task of higher priority. */
    boolean preempted;

    @Nullable
    String failedWorker;

    @Nullable
    RunState run;

    TaskState(TaskName name, StepState step) {
        this.name = name;
        this.step = step;
    }

    /** The crashes under the task, or under its gang. */
    CrashRecord crashRecord() {
        return step.spec.gang() ? step.tasks.get(0).crashes : crashes;
    }

    /** Whether a run of the task has survived its start, as far as this owner knows. */
    boolean hasSurvivedStart() {
        return survivedStart;
    }

    void onSurvivedStart() {
        survivedStart = true;
        step.hasSurvivor = true;
    }

    boolean isWaiting() {
        return !done && run == null;
    }
}
