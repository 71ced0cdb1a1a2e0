package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.RunEnd;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Applies the ends of runs to tasks, steps and jobs. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: every job whose progress has changed is among those to be written.
 */
final class JobEvents {
    private final Map<String, JobState> open;
    private final Set<JobState> dirty;
    private final List<PoolAction> actions;

    JobEvents(Map<String, JobState> open, Set<JobState> dirty, List<PoolAction> actions) {
        this.open = open;
        this.dirty = dirty;
        this.actions = actions;
    }

    /** Notes that a task of the job has begun. */
    void markRunning(JobState job) {
        if (job.phase == JobPhase.QUEUED) {
            job.phase = JobPhase.RUNNING;
            dirty.add(job);
        }
    }

    /** Applies the end of a run to its task. */
    void apply(TaskState task, int attempt, RunEnd end, WorkerState worker, long nowMs, long wallMs) {
        StepState step = task.step;
        JobState job = step.job;
        if (!job.isOpen()) {
            return;
        }
        if (step.spec.lasting()) {
            task.endsInRow = end == RunEnd.DONE || end == RunEnd.FAILED ? task.endsInRow + 1 : 0;
            task.notBeforeMs =
                    nowMs + Math.min(PoolTiming.RESTART_PAUSE_MS * task.endsInRow, PoolTiming.MAX_RESTART_PAUSE_MS);
            step.readySinceMs = nowMs;
            return;
        }
        if (end == RunEnd.DONE) {
            succeeded(task, nowMs, wallMs);
        } else if (end == RunEnd.FAILED) {
            failed(task, attempt, wallMs);
        }
        if (!task.done && task.run == null) {
            step.readySinceMs = nowMs;
        }
    }

    private void succeeded(TaskState task, long nowMs, long wallMs) {
        StepState step = task.step;
        if (step.spec.gang()) {
            // The members end together, so one success stands for all.
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

    private void failed(TaskState task, int attempt, long wallMs) {
        StepState step = task.step;
        JobState job = step.job;
        if (task.done) {
            return;
        }
        // All members of a gang fail together, so that one of them counts for the gang.
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

    /** Ends a job and stops what it still runs. */
    void endJob(JobState job, JobPhase phase, long wallMs, String reason) {
        job.phase = phase;
        job.endedWallMs = wallMs;
        open.remove(job.job.id());
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

    /** Keeps the newest checkpoint; that of one member holds for its whole gang. */
    static void keepCheckpoint(TaskState task, String checkpoint) {
        if (task.step.spec.gang()) {
            task.step.tasks.forEach(member -> member.checkpoint = checkpoint);
        } else {
            task.checkpoint = checkpoint;
        }
    }
}
