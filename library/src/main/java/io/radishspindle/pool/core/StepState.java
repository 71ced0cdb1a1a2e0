package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.prediction.RunKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The state of one step in one occurrence of a job. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: attempt numbers of a step increase; all runs of a gang share one attempt number.
 */
final class StepState {
    /** Permission to run the step on one incarnation of a worker. */
    record Ticket(String text, long validUntilMs, long bootWallMs) {}

    final JobState job;
    final int occurrence;
    final int index;
    final StepSpec spec;
    /** Groups of similar runs to which the tasks belong. */
    final RunKind kind;

    final List<TaskState> tasks = new ArrayList<>();
    final Map<String, Ticket> tickets = new HashMap<>();
    final Set<String> queriedWorkers = new HashSet<>();
    final StepOutcomes outcomes = new StepOutcomes();
    boolean adviceInFlight;
    /** When the reply to the last advice call was due. */
    long adviceDueMs;
    /** Whether the step had expired at the last ranking. */
    boolean expired;

    /** Workers have crashed under tasks of the step. */
    boolean hasCrashRecords;

    /** A run of some task has survived its start. */
    boolean hasSurvivor;
    /** The run that this owner started last. */
    @Nullable
    RunState lastStarted;

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
        kind = new RunKind(
                job.job.id() + "." + occurrence + "." + index, spec.image(), job.job.queue(), spec.estimateMs());
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskState(new TaskName(job.job.id(), occurrence, index, i), this));
        }
    }

    /** Marks a ticket as expired; the worker stays approved, so that its ticket is renewed. */
    void expireTicket(String workerId) {
        tickets.computeIfPresent(
                workerId, (id, ticket) -> new Ticket(ticket.text(), Long.MIN_VALUE, ticket.bootWallMs()));
    }

    /**
     * Whether the step fails on other workers as well, so that a failure on this one doesn't speak against it. A run
     * that lasts longer elsewhere counts as a success there.
     *
     * @param lastedMs milliseconds that the failed run took
     */
    boolean failsElsewhere(String workerId, long lastedMs, long nowMs) {
        long failures = outcomes.failuresElsewhere(workerId);
        if (failures == 0) {
            return false;
        }
        long successes = outcomes.successesElsewhere(workerId)
                + tasks.stream()
                        .filter(task -> task.run != null
                                && !task.run.worker.id().equals(workerId)
                                && outcomes.hasFailedOn(task.run.worker.id())
                                && task.run.hasLasted(lastedMs, nowMs))
                        .count();
        return failures > successes;
    }

    String name() {
        return kind.step();
    }

    boolean isDone() {
        return doneTasks == tasks.size();
    }

    /** Whether a task has shown that not all of them crash their workers. */
    boolean isProven() {
        return doneTasks > 0 || hasSurvivor;
    }

    boolean hasRuns() {
        return tasks.stream().anyMatch(task -> task.run != null);
    }

    /** What the smallest unit that can start counts as against a quota: a task, or a gang as a whole. */
    Resources chargedUnit() {
        return spec.gang() ? spec.perTask().times(tasks.size()) : spec.perTask();
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
