package io.radishspindle.pool.core;

import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One step of one occurrence of an open job. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: attempts of a step rise; all members of a gang run share one attempt.
 */
final class StepState {
    /** Permission to run the step on a worker during one life of it. */
    record Ticket(String text, long validUntilMs, long bootWallMs) {}

    final JobState job;
    final int occurrence;
    final int index;
    final StepSpec spec;
    final List<TaskState> tasks = new ArrayList<>();
    final Map<String, Ticket> tickets = new HashMap<>();
    final Set<String> askedWorkers = new HashSet<>();
    boolean adviceInFlight;
    /** Whether the job had no value left when it was ranked last. */
    boolean worthless;

    int doneTasks;
    int highestAttempt;
    long readySinceMs = -1;
    /** For the log: when the step first became ready, when its last task was first started, when it was done. */
    long firstReadyMs = -1;

    long lastFirstStartMs = -1;
    long doneAtMs = -1;

    StepState(JobState job, int occurrence, int index, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.index = index;
        this.spec = spec;
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskState(new TaskName(job.job.id(), occurrence, index, i), this));
        }
    }

    String name() {
        return job.job.id() + "." + occurrence + "." + index;
    }

    boolean isDone() {
        return doneTasks == tasks.size();
    }

    boolean isOccupying() {
        return tasks.stream().anyMatch(task -> task.run != null);
    }

    long waitingTasks() {
        return tasks.stream().filter(TaskState::isWaiting).count();
    }

    long tasksOn(String workerId) {
        return tasks.stream()
                .filter(task -> task.run != null && task.run.worker.id().equals(workerId))
                .count();
    }
}
