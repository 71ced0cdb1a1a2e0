package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Keeps track of the trials of suspects: tasks under which workers have crashed. A worker with a trial is closed to
 * other starts until the trial has survived its start, so that its crash can have no other cause and harms no task that
 * has just been started. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariants: while no task of a step has survived its start, one suspect of the step is tried at a time; however
 * many suspects there are, their trials leave other tasks half of the workers that are up, unless only one is. While
 * other tasks wait, a likely culprit is tried only if few workers are down or closed for any cause, or if it has waited
 * for {@link #MAX_CULPRIT_WAIT_MS}; then one or a tenth of the pool of these at a time, or a third of an idle pool.
 */
final class Trials {
    /** Part of the workers that are up, as its inverse, that trials may close at once. */
    private static final int TRIALS_DIVISOR = 3;
    /** As above, while most of the pool is idle. */
    private static final int IDLE_TRIALS_DIVISOR = 2;

    /**
     * Part of the workers, as its inverse, that may be down or closed for any cause, with the trial of a likely culprit
     * among them.
     */
    private static final int UNAVAILABLE_DIVISOR = 10;
    /** As above, while most of the pool is idle and no other task waits; rounded up. */
    private static final int IDLE_UNAVAILABLE_DIVISOR = 3;

    /** Time for which no other task has waited when a likely culprit may be tried in a small pool, in milliseconds. */
    private static final long QUIET_MS = 1_000;
    /** Time after which a likely culprit is tried although other tasks wait, as it may be innocent, in milliseconds. */
    private static final long MAX_CULPRIT_WAIT_MS = 20_000;
    /** As above, for a suspect that is likely innocent, while half of the workers are down or closed. */
    private static final long MAX_INNOCENT_WAIT_MS = 3_000;

    private final Map<String, WorkerState> workers;
    private final Set<JobState> dirty;
    /** Tasks with a planned or running trial; the first task of a gang. */
    private final Set<TaskState> open = new HashSet<>();
    /** In this pass, since the last plan; null if it has not been needed. */
    private @Nullable Availability availability;
    /** Time up to which trials of likely culprits give way to other tasks, as one has just waited. */
    private long giveWayUntilMs = Long.MIN_VALUE;
    /** Time up to which all trials give way to tasks that are no suspects. */
    private long allGiveWayUntilMs = Long.MIN_VALUE;

    Trials(Map<String, WorkerState> workers, Set<JobState> dirty) {
        this.workers = workers;
        this.dirty = dirty;
    }

    /** Closes the workers of a trial. */
    void onPlanned(TaskState task, Collection<WorkerState> places, long nowMs) {
        availability = null;
        open.add(first(task));
        places.forEach(worker -> worker.trial.begin(task.crashRecord(), nowMs));
    }

    /** A run that an earlier owner had started as a trial was found on a worker. */
    void onAdopted(TaskState task, WorkerState worker, long nowMs) {
        task.crashRecord().onStarted();
        onPlanned(task, List.of(worker), nowMs);
    }

    /** Ends trials that have been decided, and opens their workers; called before each pass. */
    void refresh(long nowMs) {
        availability = null;
        for (TaskState task : List.copyOf(open)) {
            CrashRecord record = task.crashRecord();
            if (!task.step.job.isUnfinished() || task.done || record.exposure() == null) {
                open.remove(task);
            } else if (!record.isStarted() && (!record.isSuspect() || record.isPlanOverdue(nowMs))) {
                record.withdrawPlan(nowMs);
                dirty.add(task.step.job);
                open.remove(task);
            } else if (record.isStarted() && unit(task).stream().allMatch(member -> member.run == null)) {
                record.endExposure();
                dirty.add(task.step.job);
                open.remove(task);
            }
        }
        for (WorkerState worker : workers.values()) {
            worker.trial.end(
                    record -> !isOpen(record) || !record.triesOn(worker) || hasSurvived(worker, record, nowMs), nowMs);
        }
    }

    private boolean isOpen(CrashRecord record) {
        return open.stream().anyMatch(task -> task.crashRecord() == record);
    }

    private static boolean hasSurvived(WorkerState worker, CrashRecord record, long nowMs) {
        return record.isStarted()
                && worker.runs.values().stream()
                        .filter(run -> run.task != null && run.task.crashRecord() == record)
                        .allMatch(run -> hasSurvived(run, nowMs));
    }

    /** A task that is no suspect found no worker. */
    void onOtherWaits(long nowMs) {
        allGiveWayUntilMs = nowMs + QUIET_MS;
        giveWayUntilMs = nowMs + QUIET_MS;
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
        if (!record.mayPlan(nowMs) || (!hasSurvivor(task.step, nowMs) && !isNextOfStep(task, nowMs))) {
            return false;
        }
        boolean culprit = isLikelyCulprit(task);
        if (availability == null) {
            availability = Availability.of(workers.values(), nowMs);
        }
        Availability pool = availability;
        if (culprit) {
            return hasSlotForCulprit(record, pool, nowMs);
        }
        boolean granted = hasSlotForInnocent(record, pool, nowMs);
        if (!granted) {
            giveWayUntilMs = nowMs + QUIET_MS;
        }
        return granted;
    }

    /** Whether the next crash under the task would prove its guilt, or workers have crashed under its siblings too. */
    private static boolean isLikelyCulprit(TaskState task) {
        CrashRecord record = task.crashRecord();
        return record.isPrimeSuspect()
                || record.unexplained() > 1
                || task.step.tasks.stream()
                        .anyMatch(other -> other != task
                                && other.crashRecord() != record
                                && other.crashRecord().isSuspect()
                                && !other.crashRecord().sharesWorkerWith(record));
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

    /** Whether the workers that trials keep closed leave enough others that are up. */
    private boolean hasSlot(Availability pool, long nowMs) {
        long divisor = isMostlyIdle(nowMs) ? IDLE_TRIALS_DIVISOR : TRIALS_DIVISOR;
        return pool.closed() < (pool.up() + divisor - 1) / divisor;
    }

    /** Whether the trial of a suspect that is likely innocent may take down a worker now. */
    private boolean hasSlotForInnocent(CrashRecord record, Availability pool, long nowMs) {
        record.onTrialWanted(nowMs + MAX_INNOCENT_WAIT_MS);
        boolean overdue = record.isTrialOverdue(nowMs);
        boolean quiet = nowMs >= allGiveWayUntilMs;
        return hasSlot(pool, nowMs) && (quiet || overdue || pool.unavailable() < Math.max(1, pool.registered() / 2));
    }

    /**
     * Whether a likely culprit may be tried: its worker will be down for seconds. It waits while too many workers are
     * down or closed for any cause, or other tasks wait, but not for ever, as it may be innocent.
     */
    private boolean hasSlotForCulprit(CrashRecord record, Availability pool, long nowMs) {
        record.onTrialWanted(nowMs + MAX_CULPRIT_WAIT_MS);
        boolean overdue = record.isTrialOverdue(nowMs);
        boolean quiet = nowMs >= giveWayUntilMs;
        long share = pool.registered() / UNAVAILABLE_DIVISOR;
        long shareIfQuiet = isMostlyIdle(nowMs)
                ? (pool.registered() + IDLE_UNAVAILABLE_DIVISOR - 1) / IDLE_UNAVAILABLE_DIVISOR
                : Math.max(1, share);
        boolean mayTakeDown = pool.unavailable() < (quiet ? shareIfQuiet : share)
                || (overdue && undecidedCulprits(nowMs) < shareIfQuiet);
        return mayTakeDown && hasSlot(pool, nowMs);
    }

    /**
     * The workers of the pool.
     *
     * @param registered addresses of those that are registered and have ever answered, as a worker that has crashed may
     *     come back under another id while it is still registered
     * @param up those that can be used, also if a trial has closed them
     * @param closed those among them that a trial has closed
     */
    private record Availability(long registered, long up, long closed) {
        static Availability of(Collection<WorkerState> workers, long nowMs) {
            Set<String> addresses = new HashSet<>();
            long up = 0;
            long closed = 0;
            for (WorkerState worker : workers) {
                if (worker.listed && worker.hasEverAnswered()) {
                    addresses.add(worker.address());
                }
                if (worker.isUsable(nowMs)) {
                    up++;
                    closed += worker.trial.isEmpty() ? 0 : 1;
                }
            }
            return new Availability(addresses.size(), up, closed);
        }

        /** Workers that are down or closed, for whatever cause. */
        long unavailable() {
            return Math.max(0, registered - (up - closed));
        }
    }

    private long undecidedCulprits(long nowMs) {
        return open.stream()
                .filter(task ->
                        isLikelyCulprit(task) && !unit(task).stream().allMatch(member -> survived(member, nowMs)))
                .count();
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
        return task.run != null && hasSurvived(task.run, nowMs);
    }

    private static boolean hasSurvived(RunState run, long nowMs) {
        boolean needsReport = run.task != null && run.task.crashRecord().needsReport();
        return needsReport ? run.survivalReported : run.hasSurvivedStart(nowMs);
    }

    private static TaskState first(TaskState task) {
        return task.step.spec.gang() ? task.step.tasks.get(0) : task;
    }

    private static List<TaskState> unit(TaskState task) {
        return task.step.spec.gang() ? task.step.tasks : List.of(task);
    }
}
