package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Keeps track of the trials of suspects: tasks under which workers have crashed. A worker with a trial is closed to
 * other starts until the trial has survived its start, so that its crash can have no other cause and harms no task that
 * has just been started. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariants: while no task of a step has survived its start, one suspect of the step is tried at a time; however
 * many suspects there are, their trials leave most workers to other tasks.
 */
final class Trials {
    /** Part of the workers, as its inverse, that trials may put at risk or take down at once. */
    private static final int SUSPECTS_DIVISOR = 3;
    /** As above, for the trials of tasks that alone can be to blame for some crash. */
    private static final int PRIME_SUSPECTS_DIVISOR = 10;

    /** As for suspects, while most of the pool is idle. */
    private static final int IDLE_SUSPECTS_DIVISOR = 2;

    private static final int MIN_SLOTS = 2;

    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;
    /** Tasks with a planned or running trial; the first task of a gang. */
    private final Set<TaskState> open = new HashSet<>();

    Trials(Map<String, WorkerState> workers, Set<JobState> dirty) {
        this.workers = workers;
        this.dirty = dirty;
    }

    /** Closes the workers of a trial. */
    void onPlanned(TaskState task, Collection<WorkerState> places) {
        open.add(first(task));
        places.forEach(worker -> worker.trial = task.crashRecord());
    }

    /** A run that an earlier owner had started as a trial was found on a worker. */
    void onAdopted(TaskState task, WorkerState worker) {
        task.crashRecord().onStarted();
        onPlanned(task, List.of(worker));
    }

    /** Ends trials that have been decided, and opens their workers; called before each pass. */
    void refresh(long nowMs) {
        if (open.isEmpty()) {
            return;
        }
        for (TaskState task : List.copyOf(open)) {
            CrashRecord record = task.crashRecord();
            if (!task.step.job.isUnfinished() || task.done || record.exposure() == null) {
                open.remove(task);
            } else if (record.isStarted() && unit(task).stream().allMatch(member -> member.run == null)) {
                record.endExposure();
                dirty.add(task.step.job);
                open.remove(task);
            }
        }
        for (WorkerState worker : workers.values()) {
            CrashRecord record = worker.trial;
            if (record != null && (!isOpen(record) || !record.triesOn(worker) || hasSurvived(worker, record, nowMs))) {
                worker.trial = null;
            }
        }
    }

    private boolean isOpen(CrashRecord record) {
        return open.stream().anyMatch(task -> task.crashRecord() == record);
    }

    private static boolean hasSurvived(WorkerState worker, CrashRecord record, long nowMs) {
        return record.isStarted()
                && worker.runs.values().stream()
                        .filter(run -> run.task != null && run.task.crashRecord() == record)
                        .allMatch(run -> run.hasSurvivedStart(nowMs));
    }

    /** Whether tasks of the step that are not suspects have to wait for the trial of one that is. */
    boolean holdsBack(StepState step, long nowMs) {
        return step.hasCrashRecords
                && step.tasks.stream()
                        .anyMatch(task -> !task.done && task.crashRecord().isSuspect())
                && !hasSurvivor(step, nowMs);
    }

    /** Whether the trial of a suspect may be planned or started now. */
    boolean mayTry(TaskState task, long nowMs) {
        CrashRecord record = task.crashRecord();
        if (record.isUnresolved(nowMs)) {
            return false;
        }
        if (record.isStarted() && unit(task).stream().allMatch(member -> member.run == null)) {
            // The run was rejected, or nothing showed that the worker had crashed under it.
            record.endExposure();
            dirty.add(task.step.job);
        }
        if (record.exposure() != null) {
            return true;
        }
        if (!hasSurvivor(task.step, nowMs) && !isNextOfStep(task, nowMs)) {
            return false;
        }
        return hasSlot(record, nowMs);
    }

    /** Suspects of a step are tried one after the other, the likeliest culprit first. */
    private boolean isNextOfStep(TaskState task, long nowMs) {
        for (TaskState other : task.step.tasks) {
            CrashRecord record = other.crashRecord();
            if (other == task || other.done || record == task.crashRecord()) {
                continue;
            }
            boolean onTrial = record.exposure() != null && !survived(other, nowMs);
            if (onTrial || record.soleCrashes() > task.crashRecord().soleCrashes()) {
                return false;
            }
        }
        return true;
    }

    /** Whether a task of the step has shown that not all of them crash their workers. */
    private static boolean hasSurvivor(StepState step, long nowMs) {
        return step.doneTasks > 0 || step.tasks.stream().anyMatch(task -> survived(task, nowMs));
    }

    /** Whether the workers that trials put at risk, or have taken down, leave enough others. */
    private boolean hasSlot(CrashRecord suspect, long nowMs) {
        boolean idle = isMostlyIdle(nowMs);
        List<TaskState> undecided = open.stream()
                .filter(task -> !unit(task).stream().allMatch(member -> survived(member, nowMs)))
                .toList();
        if (undecided.size() >= slots(idle ? IDLE_SUSPECTS_DIVISOR : SUSPECTS_DIVISOR)) {
            return false;
        }
        long prime = undecided.stream()
                .filter(task -> task.crashRecord().isPrimeSuspect())
                .count();
        return !suspect.isPrimeSuspect() || prime < slots(idle ? SUSPECTS_DIVISOR : PRIME_SUSPECTS_DIVISOR);
    }

    /** Counts the registered workers that have ever answered; a wrong count changes the pace of the trials only. */
    private long slots(int divisor) {
        long registered = workers.values().stream()
                .filter(worker -> worker.listed && worker.hasEverAnswered())
                .count();
        return Math.max(MIN_SLOTS, registered / divisor);
    }

    /** Whether less than half of what the usable workers have is in use, so that trials harm few others. */
    private boolean isMostlyIdle(long nowMs) {
        Resources used = Resources.NONE;
        Resources capacity = Resources.NONE;
        for (WorkerState worker : workers.values()) {
            if (worker.isUsable(nowMs)) {
                used = used.plus(worker.used);
                capacity = capacity.plus(worker.entry.capacity());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    private static boolean survived(TaskState task, long nowMs) {
        return task.run != null && task.run.hasSurvivedStart(nowMs);
    }

    private static TaskState first(TaskState task) {
        return task.step.spec.gang() ? task.step.tasks.get(0) : task;
    }

    private static List<TaskState> unit(TaskState task) {
        return task.step.spec.gang() ? task.step.tasks : List.of(task);
    }
}
