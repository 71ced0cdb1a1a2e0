package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.TaskCrashes.Exposure;
import io.radishspindle.pool.model.TaskCrashes.Place;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Places the trials of suspects in one scheduling pass: a trial is planned on free workers, which are closed to other
 * starts; it starts once the plan is durable and all other runs there have survived their start. Not thread-safe.
 */
final class TrialPlacement {
    /**
     * What to do with a trial now.
     *
     * @param workers worker of each task to start; empty if none starts now
     * @param lacksRoom no free worker was found
     */
    record Decision(List<WorkerState> workers, boolean lacksRoom) {
        private static final Decision WAIT = new Decision(List.of(), false);
        private static final Decision LACKS_ROOM = new Decision(List.of(), true);

        Decision {
            workers = List.copyOf(workers);
        }
    }

    private final Placer placer;
    private final Trials trials;
    private final Set<JobState> dirty;
    private final long nowMs;

    TrialPlacement(Placer placer, Trials trials, Set<JobState> dirty, long nowMs) {
        this.placer = placer;
        this.trials = trials;
        this.dirty = dirty;
        this.nowMs = nowMs;
    }

    /** Plans or starts the trial of a suspect; of a gang if {@code task} is its first task. */
    Decision place(TaskState task) {
        CrashRecord record = task.crashRecord();
        if (!trials.mayTry(task, nowMs)) {
            return Decision.WAIT;
        }
        Exposure trial = record.exposure();
        if (trial == null) {
            return plan(task);
        }
        if (!record.mayStart(nowMs)) {
            return Decision.WAIT;
        }
        List<WorkerState> workers = workersOf(task, trial);
        if (workers.isEmpty()) {
            record.endExposure();
            return plan(task);
        }
        if (workers.stream().anyMatch(worker -> hasFreshRuns(worker, record.needsReport()))) {
            return Decision.WAIT;
        }
        record.onStarted();
        return new Decision(workers, false);
    }

    private Decision plan(TaskState task) {
        StepState step = task.step;
        List<WorkerState> chosen = step.spec.gang() ? chooseGang(step) : choose(task);
        if (chosen.isEmpty()) {
            return Decision.LACKS_ROOM;
        }
        List<TaskState> unit = step.spec.gang() ? step.tasks : List.of(task);
        int attempt =
                1 + unit.stream().mapToInt(member -> member.lastAttempt).max().orElse(0);
        // A plan that is replaced keeps its number, so that no two plans share one.
        unit.forEach(member -> member.lastAttempt = attempt);
        step.highestAttempt = Math.max(step.highestAttempt, attempt);
        List<Place> places = chosen.stream().map(WorkerState::place).toList();
        task.crashRecord().plan(new Exposure(attempt, places, true), nowMs);
        trials.onPlanned(task, chosen, nowMs);
        dirty.add(step.job);
        return Decision.WAIT;
    }

    private List<WorkerState> choose(TaskState task) {
        WorkerState worker = placer.chooseForTrial(task, this::mayPlanOn);
        return worker == null ? List.of() : List.of(worker);
    }

    private List<WorkerState> chooseGang(StepState step) {
        List<WorkerState> chosen = placer.chooseGang(step);
        return chosen.stream().allMatch(this::mayPlanOn) ? chosen : List.of();
    }

    private boolean mayPlanOn(WorkerState worker) {
        return worker.trial.admitPlans(nowMs);
    }

    /** The workers of a planned trial; empty if it can't start on all of them. */
    private List<WorkerState> workersOf(TaskState task, Exposure trial) {
        Map<WorkerState, Resources> taken = new HashMap<>();
        List<WorkerState> found = new ArrayList<>();
        for (Place place : trial.places()) {
            WorkerRoom room = placer.roomOf(place.worker());
            if (room == null || room.worker.bootWallMs != place.bootWallMs()) {
                return List.of();
            }
            Resources amount = taken.merge(room.worker, task.step.spec.reserved(), Resources::plus);
            if (!placer.canTry(task, room, amount)) {
                return List.of();
            }
            found.add(room.worker);
        }
        return found;
    }

    private boolean hasFreshRuns(WorkerState worker, boolean needsReport) {
        return worker.runs.values().stream()
                .anyMatch(run -> !(needsReport ? run.survivalReported : run.hasSurvivedStart(nowMs)));
    }
}
