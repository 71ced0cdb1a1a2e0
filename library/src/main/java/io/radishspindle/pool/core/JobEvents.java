package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.RunEnd;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies the ends of runs to tasks, steps and jobs. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: every job with unwritten progress is in {@code dirty}.
 */
final class JobEvents {
    private final Map<String, JobState> unfinished;
    private final Set<JobState> dirty;
    private final List<PoolAction> actions;

    JobEvents(Map<String, JobState> unfinished, Set<JobState> dirty, List<PoolAction> actions) {
        this.unfinished = unfinished;
        this.dirty = dirty;
        this.actions = actions;
    }

    /** The progress of the job has changed. */
    void markDirty(JobState job) {
        dirty.add(job);
    }

    /** Marks the job as running when its first task has started. */
    void markRunning(JobState job) {
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
            dirty.add(job);
        }
    }

    /** Applies the end of a run to its task. */
    void apply(TaskState task, int attempt, RunEnd end, long nowMs, long wallMs) {
        StepState step = task.step;
        JobState job = step.job;
        if (!job.isUnfinished()) {
            return;
        }
        if (step.spec.lasting()) {
            task.consecutiveEnds = end == RunEnd.DONE || end == RunEnd.FAILED ? task.consecutiveEnds + 1 : 0;
            task.earliestStartMs = nowMs
                    + Math.min(PoolTiming.RESTART_BACKOFF_MS * task.consecutiveEnds, PoolTiming.MAX_RESTART_BACKOFF_MS);
            step.readySinceMs = nowMs;
            return;
        }
        if (end == RunEnd.DONE) {
            onTaskSucceeded(task, nowMs, wallMs);
        } else if (end == RunEnd.FAILED) {
            onTaskFailed(task, attempt, wallMs);
        }
        if (!task.done && task.run == null) {
            step.readySinceMs = nowMs;
        }
    }

    private void onTaskSucceeded(TaskState task, long nowMs, long wallMs) {
        StepState step = task.step;
        if (step.spec.gang()) {
            // All tasks of a gang end together, so one success applies to all.
            step.tasks.forEach(JobEvents::markDone);
        } else {
            markDone(task);
        }
        if (step.isDone()) {
            step.doneAtMs = nowMs;
        }
        dirty.add(step.job);
        boolean complete = step.job.steps.stream().allMatch(StepState::isDone);
        if (complete) {
            endJob(step.job, JobPhase.COMPLETED, wallMs, "all tasks have succeeded");
        }
    }

    private static void markDone(TaskState task) {
        if (!task.done) {
            task.done = true;
            task.step.doneTasks++;
        }
    }

    private void onTaskFailed(TaskState task, int attempt, long wallMs) {
        StepState step = task.step;
        JobState job = step.job;
        if (task.done) {
            return;
        }
        // All tasks of a gang fail together, so failures are counted at the first task only.
        TaskState counter = step.spec.gang() ? step.tasks.get(0) : task;
        if (!counter.failedAttempts.add(attempt)) {
            return;
        }
        dirty.add(job);
        int failures = counter.failedAttempts.size();
        if (failures >= job.job.maxAttempts()) {
            endJob(job, JobPhase.FAILED, wallMs, "task " + task.name + " has failed " + failures + " times");
        }
    }

    /** Ends a job and stops its remaining runs, unless it has completed. */
    void endJob(JobState job, JobPhase phase, long wallMs, String reason) {
        job.phase = phase;
        job.endedWallMs = wallMs;
        unfinished.remove(job.job.id());
        if (phase != JobPhase.CANCELLED) {
            dirty.add(job);
        }
        actions.add(new PoolAction.JobEnded(
                job.job.id(),
                job.job.queue(),
                phase.name(),
                reason,
                wallMs - job.job.acceptedWallMs(),
                job.timeline()));
        for (StepState step : job.steps) {
            for (TaskState task : step.tasks) {
                if (task.run != null && phase != JobPhase.COMPLETED) {
                    actions.add(task.run.stop(task.run.sentAtMs, reason));
                }
            }
        }
    }

    /** Stores the latest checkpoint; the checkpoint of one task applies to its whole gang. */
    static void keepCheckpoint(TaskState task, String checkpoint) {
        if (task.step.spec.gang()) {
            task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }
}
