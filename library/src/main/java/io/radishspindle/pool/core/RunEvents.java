package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.RunState.Phase;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Applies what workers report to their runs. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: a run is released only by a listed end, by its absence from lists that were requested after the last
 * order about it was answered, by a new life of its worker, or by the end of every lease on its worker.
 */
final class RunEvents {
    /** A stop without an answer or effect is repeated after this many milliseconds. */
    private static final long STOP_REPEAT_MS = 700;
    /** A task that uses no processor time for this many milliseconds stands still. */
    private static final long IDLE_LIMIT_MS = 1_300;
    /** Processor use below this share of the request counts as standing still. */
    private static final double IDLE_SHARE = 0.04;

    private final Map<String, JobState> jobs;
    private final Map<String, JobState> open;
    private final JobEvents jobEvents;
    private final List<PoolAction> actions;
    private final DurationStats durations;

    RunEvents(
            Map<String, JobState> jobs,
            Map<String, JobState> open,
            JobEvents jobEvents,
            List<PoolAction> actions,
            DurationStats durations) {
        this.durations = durations;
        this.jobs = jobs;
        this.open = open;
        this.jobEvents = jobEvents;
        this.actions = actions;
    }

    void reported(WorkerState worker, long requestedAtMs, WorkerReport report, long nowMs, long wallMs) {
        if (worker.answered && report.bootWallMs() != worker.bootWallMs) {
            newLife(worker);
        }
        if (!worker.answered) {
            // The previous owner may have granted a lease just before this owner was fenced in.
            worker.leaseBoundMs = nowMs + (long) (PoolTiming.LEASE_MS / PoolTiming.SLOWEST_CLOCK);
        }
        worker.bootWallMs = report.bootWallMs();
        worker.answered = true;
        worker.answeredAs = worker.entry;
        worker.lastHoldFailed = false;
        worker.lastAnswerMs = nowMs;
        worker.clockMs = report.clockMs();
        worker.clockAtMs = nowMs;
        for (EndedRun ended : report.ended()) {
            if (ended.sequence() > worker.seenSequence) {
                worker.seenSequence = ended.sequence();
                ended(worker, ended, nowMs, wallMs);
            }
        }
        Map<String, RunningTask> present = new HashMap<>();
        report.running().forEach(running -> present.put(running.run().toString(), running));
        for (RunState run : List.copyOf(worker.runs.values())) {
            RunningTask running = present.remove(run.run.toString());
            if (running != null) {
                present(run, running, nowMs);
            } else if (requestedAtMs >= run.settledAtMs) {
                absent(run, nowMs, wallMs);
            }
        }
        present.values().forEach(running -> adopt(worker, running, nowMs));
    }

    /** The lists then lack the runs of the earlier life; a start that has just been sent may belong to the new one. */
    private void newLife(WorkerState worker) {
        actions.add(new PoolAction.WorkerChanged(worker.id(), "restarted", "reports a new start time"));
        worker.seenSequence = 0;
        worker.durableSequence = 0;
    }

    /** How long a hold should wait so that its loss is noticed soon after the next end is due, in milliseconds. */
    long holdWaitMs(WorkerState worker, long nowMs) {
        long waitMs = PoolTiming.HOLD_WAIT_MS;
        for (RunState run : worker.runs.values()) {
            if (run.task != null && !run.task.step.spec.lasting()) {
                long dueMs = run.sentAtMs + durations.expectedMs(run.task.step) - nowMs;
                waitMs = Math.min(waitMs, Math.max(PoolTiming.MIN_HOLD_WAIT_MS, dueMs + PoolTiming.HOLD_MARGIN_MS));
            }
        }
        return waitMs;
    }

    void leaseEnded(WorkerState worker, String reason, long nowMs, long wallMs) {
        if (!worker.runs.isEmpty()) {
            actions.add(new PoolAction.WorkerChanged(worker.id(), "lost", reason));
            loseAll(worker, nowMs, wallMs);
        }
    }

    private void loseAll(WorkerState worker, long nowMs, long wallMs) {
        for (RunState run : List.copyOf(worker.runs.values())) {
            finish(run, RunEnd.LEASE_EXPIRED, nowMs, wallMs);
        }
    }

    private void present(RunState run, RunningTask running, long nowMs) {
        if (run.phase == Phase.STARTING || run.phase == Phase.UNRESOLVED) {
            run.phase = Phase.RUNNING;
            run.settledAtMs = nowMs;
        }
        run.startUnknown = false;
        if (!running.checkpoint().isEmpty() && run.task != null) {
            JobEvents.keepCheckpoint(run.task, running.checkpoint());
        }
        if (run.phase == Phase.STOPPING && nowMs - run.stopSentAtMs > STOP_REPEAT_MS) {
            stop(run, nowMs, "repeated stop");
        }
        if (run.phase == Phase.RUNNING) {
            checkStandstill(run, running, nowMs);
        }
    }

    /** Finds tasks that use no processor time although they may; their worker has a fault that health checks miss. */
    private void checkStandstill(RunState run, RunningTask running, long nowMs) {
        TaskState task = run.task;
        if (task == null || task.step.spec.fills() || task.step.spec.targetMs() > 0 || running.gauge() < 0) {
            return;
        }
        boolean idle = running.gauge() < IDLE_SHARE * task.step.spec.perTask().milliCores()
                && running.pacePercent() > 0
                && !task.step.spec.gang();
        if (!idle) {
            run.idleSinceMs = -1;
        } else if (run.idleSinceMs < 0) {
            run.idleSinceMs = nowMs;
        } else if (nowMs - run.idleSinceMs > IDLE_LIMIT_MS) {
            run.worker.health.suspend(nowMs);
            actions.add(new PoolAction.WorkerChanged(run.worker.id(), "suspended", "task stands still"));
            stop(run, nowMs, "task stands still");
        }
    }

    private void absent(RunState run, long nowMs, long wallMs) {
        if (run.startUnknown && !run.stopAccepted) {
            // An accepted stop keeps a start that is carried out late from taking effect.
            stop(run, nowMs, "start without answer");
            return;
        }
        finish(run, RunEnd.LEASE_EXPIRED, nowMs, wallMs);
    }

    private void adopt(WorkerState worker, RunningTask running, long nowMs) {
        TaskState task = find(open, running.run().task());
        boolean wanted = task != null && !task.done && task.run == null;
        TaskState known = find(jobs, running.run().task());
        Resources reserved = known == null ? Resources.NONE : known.step.spec.reserved();
        RunState run = new RunState(running.run(), worker, reserved, wanted ? task : null, nowMs);
        run.unknownSize = known == null;
        run.phase = Phase.RUNNING;
        run.settledAtMs = nowMs;
        worker.occupy(run);
        if (wanted && task != null) {
            task.run = run;
            task.attempts = Math.max(task.attempts, running.run().attempt());
            task.step.highestAttempt = Math.max(task.step.highestAttempt, task.attempts);
            if (!running.checkpoint().isEmpty()) {
                JobEvents.keepCheckpoint(task, running.checkpoint());
            }
            jobEvents.markRunning(task.step.job);
        } else {
            stop(run, nowMs, "run of no open task");
        }
    }

    private static @Nullable TaskState find(Map<String, JobState> among, TaskName name) {
        JobState job = among.get(name.jobId());
        if (job == null
                || name.occurrence() >= job.job.occurrences()
                || name.step() >= job.job.steps().size()) {
            return null;
        }
        List<TaskState> tasks = job.step(name.occurrence(), name.step()).tasks;
        return name.index() < tasks.size() ? tasks.get(name.index()) : null;
    }

    void onStartReply(RunState run, @Nullable Answer answer, long nowMs) {
        if (answer == Answer.ACCEPTED) {
            if (run.phase == Phase.STARTING) {
                run.phase = Phase.RUNNING;
            }
            run.settledAtMs = nowMs;
            return;
        }
        if (answer == null) {
            run.startUnknown = true;
            if (run.phase == Phase.STARTING) {
                run.phase = Phase.UNRESOLVED;
            }
            run.settledAtMs = nowMs;
            return;
        }
        run.worker.release(run);
        TaskState task = run.task;
        if (task == null || task.run != run) {
            return;
        }
        task.run = null;
        StepState step = task.step;
        switch (answer) {
            case OUTDATED -> step.tasks.forEach(t -> t.attempts += PoolTiming.ATTEMPT_GAP);
            case NO_TICKET -> step.tickets.remove(run.worker.id());
            case UNHEALTHY -> run.worker.health.failed(nowMs);
            default -> run.worker.lastHoldFailed = true;
        }
    }

    void onStopReply(RunState run, @Nullable Answer answer, long nowMs) {
        if (answer == Answer.ACCEPTED || answer == Answer.OUTDATED) {
            run.stopAccepted = true;
            run.settledAtMs = nowMs;
        }
    }

    private void ended(WorkerState worker, EndedRun ended, long nowMs, long wallMs) {
        RunState run = worker.runs.get(ended.run());
        TaskState task = find(open, ended.run().task());
        if (task != null) {
            task.attempts = Math.max(task.attempts, ended.run().attempt());
            task.step.highestAttempt = Math.max(task.step.highestAttempt, task.attempts);
            if (!ended.checkpoint().isEmpty()) {
                JobEvents.keepCheckpoint(task, ended.checkpoint());
            }
        }
        if (run != null) {
            finish(run, ended.end(), nowMs, wallMs);
        } else if (task != null) {
            // An end that an earlier owner has not acknowledged.
            jobEvents.apply(task, ended.run().attempt(), ended.end(), worker, nowMs, wallMs);
        }
    }

    private void finish(RunState run, RunEnd end, long nowMs, long wallMs) {
        run.worker.release(run);
        TaskState task = run.task;
        if (task == null) {
            return;
        }
        if (task.run == run) {
            task.run = null;
        }
        if (end == RunEnd.DONE) {
            long tookMs = nowMs - run.sentAtMs;
            double relative = task.step.spec.fills() ? 1 : durations.relative(task.step, tookMs);
            run.worker.health.succeeded(relative);
        } else if (end == RunEnd.FAILED) {
            run.worker.health.failed(nowMs);
            task.failedWorker = run.worker.id();
        }
        jobEvents.apply(task, run.run.attempt(), end, run.worker, nowMs, wallMs);
    }

    private void stop(RunState run, long nowMs, String reason) {
        actions.add(run.stop(nowMs, reason));
    }

    /** Finds runs that have to be stopped: remains of gangs, filling runs beside serving ones, draining workers. */
    void review(Collection<WorkerState> workers, long nowMs) {
        for (WorkerState worker : workers) {
            for (RunState run : FillGuard.intruders(worker)) {
                stopOnce(run, nowMs, "would disturb a serving task");
            }
            for (RunState run : List.copyOf(worker.runs.values())) {
                TaskState task = run.task;
                if (task == null || run.phase != Phase.RUNNING) {
                    continue;
                }
                if (isRemainOfGang(task)) {
                    stopOnce(run, nowMs, "gang is incomplete");
                } else if (worker.entry.draining() && shouldLeave(task)) {
                    stopOnce(run, nowMs, "worker is leaving");
                }
            }
        }
    }

    private static boolean shouldLeave(TaskState task) {
        return task.step.spec.lasting() || (task.step.spec.checkpoint() && !task.step.spec.gang());
    }

    private static boolean isRemainOfGang(TaskState task) {
        return task.step.spec.gang() && !task.done && task.step.tasks.stream().anyMatch(member -> member.run == null);
    }

    private void stopOnce(RunState run, long nowMs, String reason) {
        if (run.phase == Phase.RUNNING) {
            stop(run, nowMs, reason);
        }
    }
}
