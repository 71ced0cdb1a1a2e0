package io.radishspindle.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.WorkerInfo;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Checks the invariants of the placement core on its actions and on the attempts that the workers would run, without
 * access to the core's state. Not thread-safe.
 */
final class ActionChecker {
    final Map<String, WorkerInfo> workers = new LinkedHashMap<>();
    final Set<String> usable = new HashSet<>();
    /** Attempts on each worker, as the workers would report them. */
    final Map<String, Map<TaskAttempt, Resources>> running = new LinkedHashMap<>();

    final Map<String, JobSpec> jobs = new LinkedHashMap<>();
    final Map<String, Long> openUntilMs = new HashMap<>();
    final Set<String> cancelled = new HashSet<>();
    final Set<TaskId> completed = new HashSet<>();
    final Map<String, Long> quarantinedUntilMs = new HashMap<>();
    final List<TaskAttempt> everStarted = new ArrayList<>();
    boolean mayStart;

    void check(long nowMs, List<PlacementAction> actions) {
        Set<String> startedGangs = new HashSet<>();
        for (PlacementAction action : actions) {
            if (action instanceof PlacementAction.StartTask start) {
                checkStart(nowMs, start);
                JobSpec job = jobOf(start.attempt());
                if (job.jobClass() == JobClass.ALL_AT_ONCE) {
                    startedGangs.add(job.id());
                }
            } else if (action instanceof PlacementAction.WorkerQuarantined quarantined) {
                noteQuarantine(nowMs, quarantined);
            } else if (action instanceof PlacementAction.RecordAttempt ended && ended.taskCompleted()) {
                completed.add(ended.attempt().task());
            }
        }
        startedGangs.forEach(this::checkWholeGangRuns);
    }

    private void checkStart(long nowMs, PlacementAction.StartTask start) {
        String worker = start.workerId();
        TaskAttempt attempt = start.attempt();
        JobSpec job = jobOf(attempt);
        assertThat(mayStart).as("authority at start of %s", attempt).isTrue();
        assertThat(usable).as("usable workers at start of %s", attempt).contains(worker);
        assertThat(quarantinedUntilMs.getOrDefault(worker, 0L))
                .as("quarantine of %s", worker)
                .isLessThanOrEqualTo(nowMs);
        assertThat(cancelled).as("cancelled jobs at start of %s", attempt).doesNotContain(job.id());
        assertThat(completed).as("completed tasks at start of %s", attempt).doesNotContain(attempt.task());
        assertThat(openUntilMs.getOrDefault(job.id(), 0L))
                .as("open until, %s", attempt)
                .isLessThanOrEqualTo(nowMs);
        assertThat(everStarted).as("attempt ids").doesNotContain(attempt);
        assertThat(whereRunning(attempt.task()))
                .as("second place of %s", attempt)
                .isNull();
        assertThat(job.perTask().fitsIn(start.reserved()))
                .as("%s reserves its declared size", attempt)
                .isTrue();
        everStarted.add(attempt);
        attemptsOn(worker).put(attempt, start.reserved());
        Resources sum = attemptsOn(worker).values().stream().reduce(Resources.NONE, Resources::plus);
        assertThat(sum.fitsIn(infoOf(worker).capacity()))
                .as("%s on %s within capacity", sum, worker)
                .isTrue();
    }

    private void noteQuarantine(long nowMs, PlacementAction.WorkerQuarantined quarantined) {
        quarantinedUntilMs.values().removeIf(until -> until <= nowMs);
        quarantinedUntilMs.put(quarantined.workerId(), quarantined.untilMs());
        assertThat(quarantinedUntilMs.size()).isLessThanOrEqualTo(Math.max(1, workers.size() / 10));
    }

    private void checkWholeGangRuns(String jobId) {
        JobSpec job = jobOf(new TaskAttempt(new TaskId(jobId, 0), 0, 0));
        for (int i = 0; i < job.tasks(); i++) {
            TaskId task = new TaskId(jobId, i);
            boolean endedOrRunning = completed.contains(task) || whereRunning(task) != null;
            assertThat(endedOrRunning).as("%s runs with its gang", task).isTrue();
        }
    }

    @Nullable
    String whereRunning(TaskId task) {
        for (Map.Entry<String, Map<TaskAttempt, Resources>> entry : running.entrySet()) {
            if (entry.getValue().keySet().stream().anyMatch(a -> a.task().equals(task))) {
                return entry.getKey();
            }
        }
        return null;
    }

    Map<TaskAttempt, Resources> attemptsOn(String worker) {
        return running.computeIfAbsent(worker, id -> new LinkedHashMap<>());
    }

    private JobSpec jobOf(TaskAttempt attempt) {
        JobSpec job = jobs.get(attempt.task().jobId());
        assertThat(job).as("job of %s", attempt).isNotNull();
        return java.util.Objects.requireNonNull(job);
    }

    private WorkerInfo infoOf(String worker) {
        return java.util.Objects.requireNonNull(workers.get(worker));
    }
}
