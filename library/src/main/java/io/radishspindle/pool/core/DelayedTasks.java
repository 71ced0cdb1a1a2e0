package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.PoolAction.TaskDelayed;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Finds tasks that wait although some worker has free capacity for them, and tells what keeps them from starting.
 * Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariants: changes no decision; what it examines and reports at a time is bounded.
 */
final class DelayedTasks {
    private static final long CHECK_INTERVAL_MS = 1_000;
    /** Wait after which a task is reported, and between two reports of it, in milliseconds. */
    private static final long DELAY_MS = 3_000;
    /** Steps for which the workers are searched in one check; the oldest jobs come first. */
    private static final int MAX_EXAMINED = 50;

    private static final int MAX_REPORTS = 10;

    private final StartPermission permission;
    private final Trials trials;
    private final TenantLimits limits;
    private final List<PoolAction> actions;
    private long nextCheckMs = Long.MIN_VALUE;

    DelayedTasks(StartPermission permission, Trials trials, TenantLimits limits, List<PoolAction> actions) {
        this.permission = permission;
        this.trials = trials;
        this.limits = limits;
        this.actions = actions;
    }

    /**
     * Reports delayed tasks, at most one of each step.
     *
     * @param placement the placement of the pass that has just ended, which knows what is held
     * @param hasMajority whether the pass could start anything
     */
    void check(
            Collection<JobState> unfinished, Supplier<Placer> placement, boolean hasMajority, long nowMs, long wallMs) {
        if (nowMs < nextCheckMs) {
            return;
        }
        nextCheckMs = nowMs + CHECK_INTERVAL_MS;
        Placer placer = placement.get();
        int examined = 0;
        int reported = 0;
        for (JobState job : unfinished) {
            for (StepState step : job.steps) {
                if (step.isDone() || step.spec.gang() || !job.isRunnable(step, wallMs)) {
                    continue;
                }
                TaskState task = longestWaiting(step, nowMs);
                if (task == null || nowMs - task.waitsSinceMs < DELAY_MS || nowMs < task.reportDueMs) {
                    continue;
                }
                if (examined++ >= MAX_EXAMINED || reported >= MAX_REPORTS) {
                    return;
                }
                reported += report(task, placer, hasMajority, nowMs) ? 1 : 0;
            }
        }
    }

    /** Updates since when the tasks of a step wait; a wait counts from the first check that finds it. */
    private static @Nullable TaskState longestWaiting(StepState step, long nowMs) {
        TaskState longest = null;
        for (TaskState task : step.tasks) {
            if (!task.isWaiting()) {
                task.waitsSinceMs = TaskState.NOT_WAITING;
            } else if (task.waitsSinceMs == TaskState.NOT_WAITING) {
                task.waitsSinceMs = nowMs;
            }
            if (task.isWaiting() && (longest == null || task.waitsSinceMs < longest.waitsSinceMs)) {
                longest = task;
            }
        }
        return longest;
    }

    /** Returns whether the task waits beside room, and reports it then. */
    private boolean report(TaskState task, Placer placer, boolean hasMajority, long nowMs) {
        Map<Obstacle, Integer> byWorker = new EnumMap<>(Obstacle.class);
        for (WorkerRoom room : placer.rooms()) {
            if (hasRoom(task.step, room.worker)) {
                Obstacle obstacle = placer.obstacleTo(task, room);
                if (obstacle != Obstacle.NOT_APPROVED && obstacle != Obstacle.DRAINING) {
                    byWorker.merge(obstacle, 1, Integer::sum);
                }
            }
        }
        if (byWorker.isEmpty()) {
            return false;
        }
        task.reportDueMs = nowMs + DELAY_MS;
        actions.add(new TaskDelayed(
                task.name,
                task.step.job.job.queue(),
                task.step.spec.lasting(),
                nowMs - task.waitsSinceMs,
                obstacleTo(task, hasMajority, nowMs).label(),
                text(byWorker)));
        return true;
    }

    private static boolean hasRoom(StepState step, WorkerState worker) {
        Resources free = worker.entry.capacity().minus(worker.used);
        boolean labelled = step.spec.label().isEmpty() || worker.entry.labels().contains(step.spec.label());
        return worker.listed && labelled && step.spec.reserved().fitsIn(free);
    }

    /** What keeps the task from any start; {@link Obstacle#NONE} if that depends on the worker. */
    private Obstacle obstacleTo(TaskState task, boolean hasMajority, long nowMs) {
        StepState step = task.step;
        String tenant = step.job.job.tenant();
        if (!hasMajority) {
            return Obstacle.NO_MAJORITY;
        }
        if (!permission.mayStartTasksOf(step.job, nowMs)) {
            return Obstacle.RECOVERY;
        }
        if (!permission.mayStart(task)) {
            return Obstacle.UNRESOLVED_RUN;
        }
        if (nowMs < task.earliestStartMs) {
            return Obstacle.RESTART_BACKOFF;
        }
        if (tenant != null && !limits.allows(tenant, step.chargedUnit())) {
            return Obstacle.QUOTA;
        }
        if (task.crashRecord().isSuspect()) {
            return Obstacle.TRIAL;
        }
        return trials.holdsBack(step, nowMs) ? Obstacle.TRIAL_OF_STEP : Obstacle.NONE;
    }

    /** Number of workers with room by obstacle, for the log. */
    private static String text(Map<Obstacle, Integer> byWorker) {
        StringBuilder text = new StringBuilder();
        byWorker.forEach((obstacle, count) -> text.append(text.length() == 0 ? "" : " ")
                .append(obstacle.label())
                .append(':')
                .append(count));
        return text.toString();
    }
}
