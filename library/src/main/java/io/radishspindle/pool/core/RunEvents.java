package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.RunState.Phase;
import io.radishspindle.pool.model.Run;
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
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Applies the reports of workers and their answers to orders to the runs. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariants: a run is released only by a reported end, by its absence from a complete report that was requested
 * after the last order about it was answered, by a start that was rejected for a reason other than an unknown run of
 * its task, or by the expiry of all leases of its worker; the end of every run is applied to its task, also if it has
 * another run, or if its job becomes known later.
 */
final class RunEvents {
    /** Time after which a stop without effect is retried, in milliseconds. */
    private static final long STOP_RETRY_MS = 700;
    /** Time without processor use after which a task counts as stalled, in milliseconds. */
    private static final long STALL_TIMEOUT_MS = 1_300;
    /** Processor use below this share of the requested cores counts as none. */
    private static final double IDLE_USAGE_SHARE = 0.04;

    /** Time between reports up to which an end counts as reported at once: a hold returns as soon as a run ends. */
    private static final long MAX_REPORT_GAP_MS = PoolTiming.HOLD_WAIT_MS + 300;

    private final Map<String, JobState> jobs;
    private final Map<String, JobState> unfinished;
    private final JobEvents jobEvents;
    private final List<PoolAction> actions;
    private final DurationStats durations;
    private final CrashAttribution attribution;
    private final FailureAttribution failures;
    private final Trials trials;
    private final GivenUpRuns givenUp;
    private final Function<String, Optional<String>> tenantOf;
    private final Predicate<String> isKnown;
    private final UnknownJobEnds unknownJobEnds = new UnknownJobEnds();
    /** Whether the ends in the current report have just happened. */
    private boolean endsAreFresh;

    /**
     * @param isKnown whether a job, unfinished or ended, is known
     * @param tenantOf finds the tenant of a job, unfinished or ended, by the id of the job
     */
    RunEvents(
            Map<String, JobState> jobs,
            Map<String, JobState> unfinished,
            JobEvents jobEvents,
            List<PoolAction> actions,
            DurationStats durations,
            Predicate<String> isKnown,
            Function<String, Optional<String>> tenantOf,
            CrashAttribution attribution,
            FailureAttribution failures,
            Trials trials,
            GivenUpRuns givenUp) {
        this.givenUp = givenUp;
        this.attribution = attribution;
        this.failures = failures;
        this.trials = trials;
        this.isKnown = isKnown;
        this.tenantOf = tenantOf;
        this.durations = durations;
        this.jobs = jobs;
        this.unfinished = unfinished;
        this.jobEvents = jobEvents;
        this.actions = actions;
    }

    ReportOrder onReport(WorkerState worker, SentHold hold, WorkerReport report, long nowMs, long wallMs) {
        boolean sameIncarnation = worker.answered && report.bootWallMs() == worker.bootWallMs;
        ReportOrder order = worker.reports.place(hold, report, sameIncarnation);
        if (order == ReportOrder.OTHER_INCARNATION) {
            return order;
        }
        endsAreFresh = worker.answered && !worker.isLate(hold) && nowMs - worker.lastAnswerMs <= MAX_REPORT_GAP_MS;
        if (order == ReportOrder.OLDER) {
            worker.onAnswered(hold, nowMs);
            applyEnds(worker, report, nowMs, wallMs);
            return order;
        }
        if (worker.answered && report.bootWallMs() != worker.bootWallMs) {
            onNewIncarnation(worker, report, nowMs);
        }
        if (!worker.answered) {
            // The previous owner may have granted a lease just before the worker received this owner's fencing token.
            worker.leaseBoundMs = nowMs + (long) (PoolTiming.LEASE_MS / PoolTiming.MIN_CLOCK_RATE);
            worker.leaseSource = LeaseSource.EARLIER_OWNER;
            if (!report.running().isEmpty()) {
                // The expiry may have been sent on the clock of an earlier incarnation.
                worker.onClockRestarted(nowMs);
            }
        }
        worker.bootWallMs = report.bootWallMs();
        worker.answered = true;
        worker.replaced = false;
        worker.entryAtLastAnswer = hold.polled();
        worker.onAnswered(hold, nowMs);
        worker.onClock(hold, report.clockMs(), sameIncarnation, nowMs);
        worker.reports.onApplied(hold, report, worker.calls.next());
        applyEnds(worker, report, nowMs, wallMs);
        Map<String, RunningTask> present = new HashMap<>();
        report.running().forEach(running -> present.put(running.run().toString(), running));
        for (RunState run : List.copyOf(worker.runs.values())) {
            RunningTask running = present.remove(run.run.toString());
            if (running != null) {
                onRunPresent(run, running, hold, nowMs);
            } else if (report.isComplete() && run.mustBeIn(hold)) {
                onRunAbsent(run, hold, nowMs, wallMs);
            }
        }
        present.values().forEach(running -> adopt(worker, running, nowMs));
        worker.hasReportedAll |= report.isComplete();
        return order;
    }

    private void applyEnds(WorkerState worker, WorkerReport report, long nowMs, long wallMs) {
        for (EndedRun ended : report.ended()) {
            if (ended.sequence() > worker.appliedSequence) {
                worker.appliedSequence = ended.sequence();
                onRunEnded(worker, ended, nowMs, wallMs);
            }
        }
    }

    /** Applies the ends of runs that were reported before this job was known. */
    void onJobKnown(JobState job, long nowMs, long wallMs) {
        unknownJobEnds.take(job.job.id()).forEach(ended -> applyUntracked(ended, nowMs, wallMs));
    }

    /** Runs of the earlier incarnation are missing from the report; a start just sent may belong to the new one. */
    private void onNewIncarnation(WorkerState worker, WorkerReport report, long nowMs) {
        Set<Run> present = report.running().stream().map(RunningTask::run).collect(Collectors.toSet());
        List<RunState> lost = worker.runs.values().stream()
                .filter(run -> run.phase != Phase.STARTING && !present.contains(run.run))
                .toList();
        attribution.onLost(worker, lost, nowMs);
        worker.runs.values().forEach(RunState::onNewIncarnation);
        worker.onClockRestarted(nowMs);
        actions.add(new PoolAction.WorkerChanged(worker.id(), "restarted", "reports a new start time"));
        worker.appliedSequence = 0;
        worker.durableSequence = 0;
    }

    /** Returns the wait of a hold in milliseconds, such that its loss is detected soon after the next expected end. */
    long holdWaitMs(WorkerState worker, long nowMs) {
        long waitMs = PoolTiming.HOLD_WAIT_MS;
        for (RunState run : worker.runs.values()) {
            if (run.task != null && !run.task.step.spec.lasting()) {
                long dueMs = durations.dueMs(run, run.task.step, nowMs);
                waitMs = Math.min(waitMs, Math.max(PoolTiming.MIN_HOLD_WAIT_MS, dueMs + PoolTiming.HOLD_MARGIN_MS));
            }
        }
        return waitMs;
    }

    void onLeasesExpired(WorkerState worker, String reason, long nowMs, long wallMs) {
        if (!worker.runs.isEmpty()) {
            attribution.onLost(worker, List.copyOf(worker.runs.values()), nowMs);
            actions.add(PoolAction.WorkerLost.of(worker, reason, nowMs));
            for (RunState run : List.copyOf(worker.runs.values())) {
                lose(run, reason, EventSequence.NEVER, nowMs, wallMs);
            }
        }
    }

    /** Ends a run of which the worker reports no end, after the event of a certain number. */
    private void lose(RunState run, String reason, long shownBy, long nowMs, long wallMs) {
        givenUp.add(run.run, nowMs);
        if (run.task != null) {
            run.task.lostRuns++;
            endExposure(run.task, run.run.attempt());
            actions.add(PoolAction.RunLost.of(run, reason, shownBy, nowMs));
        }
        finish(run, RunEnd.LEASE_EXPIRED, nowMs, wallMs);
    }

    private void onRunPresent(RunState run, RunningTask running, SentHold hold, long nowMs) {
        run.onAccepted(nowMs);
        if (!run.worker.isLate(hold)) {
            // A late report may have been made before the worker crashed.
            attribution.onPresent(run);
        }
        if (!run.survivalReported && run.hasSurvivedStart(hold.sentAtMs())) {
            run.survivalReported = true;
            if (run.task != null) {
                run.task.onSurvivedStart();
            }
            clearSuspicion(run.task);
        }
        if (run.phase == Phase.STARTING || run.phase == Phase.UNRESOLVED) {
            run.phase = Phase.RUNNING;
            run.onResolved();
        }
        run.startOutcomeUnknown = false;
        run.lastSeenMs = nowMs;
        failures.onPresent(run, nowMs);
        if (!running.checkpoint().isEmpty() && run.task != null) {
            JobEvents.keepCheckpoint(run.task, running.checkpoint());
        }
        if (run.phase == Phase.STOPPING && nowMs - run.stopSentAtMs > STOP_RETRY_MS) {
            stop(run, nowMs, "stop retried");
        }
        if (run.phase == Phase.RUNNING && !run.worker.isLate(hold)) {
            checkStalled(run, running, nowMs);
        }
    }

    private void clearSuspicion(@Nullable TaskState task) {
        if (task == null || !task.crashRecord().isSuspect()) {
            return;
        }
        List<TaskState> unit = task.step.spec.gang() ? task.step.tasks : List.of(task);
        if (unit.stream().allMatch(member -> member.run != null && member.run.survivalReported)) {
            clear(task, unit);
        }
    }

    private void clear(TaskState task, List<TaskState> unit) {
        CrashRecord record = task.crashRecord();
        actions.add(new PoolAction.SuspectCleared(task.name, record.describe()));
        task.step.tasks.stream().filter(sibling -> !unit.contains(sibling)).forEach(sibling -> sibling.crashRecord()
                .onSiblingCleared(record));
        record.clear();
        jobEvents.markDirty(task.step.job);
    }

    /**
     * Stops tasks that use no processor time although they may, unless others of their step use none elsewhere: their
     * worker has a fault that health checks miss.
     */
    private void checkStalled(RunState run, RunningTask running, long nowMs) {
        TaskState task = run.task;
        if (task == null || task.step.spec.fills() || task.step.spec.targetMs() > 0 || running.gauge() < 0) {
            return;
        }
        boolean idle =
                running.gauge() < IDLE_USAGE_SHARE * task.step.spec.perTask().milliCores()
                        && running.pacePercent() > 0
                        && !task.step.spec.gang();
        if (!idle) {
            run.idleSinceMs = -1;
        } else if (run.idleSinceMs < 0) {
            run.idleSinceMs = nowMs;
        } else if (nowMs - run.idleSinceMs > STALL_TIMEOUT_MS) {
            run.idleSinceMs = nowMs;
            if (failures.onStalled(run, task.step, nowMs)) {
                stop(run, nowMs, "task is stalled");
            }
        }
    }

    private void onRunAbsent(RunState run, SentHold hold, long nowMs, long wallMs) {
        if (run.startOutcomeUnknown && !run.stopAccepted) {
            // An accepted stop prevents a start that arrives late from taking effect.
            stop(run, nowMs, "outcome of start is unknown");
            return;
        }
        if (run.outdated) {
            free(run);
            return;
        }
        lose(run, "missing from a report", hold.number(), nowMs, wallMs);
    }

    private void adopt(WorkerState worker, RunningTask running, long nowMs) {
        TaskState task = find(unfinished, running.run().task());
        boolean needed = task != null && !task.done && task.run == null;
        TaskState known = find(jobs, running.run().task());
        Resources reserved = known == null ? Resources.NONE : known.step.spec.reserved();
        String tenant = tenantOf.apply(running.run().task().jobId()).orElse(null);
        RunState run = new RunState(running.run(), worker, reserved, needed ? task : null, tenant, nowMs);
        run.hasUnknownResources = known == null;
        run.partial = true;
        run.charged = known == null ? Resources.NONE.atLeast(worker.free()) : known.step.spec.perTask();
        run.phase = Phase.RUNNING;
        run.onResolved();
        run.onAccepted(nowMs);
        worker.occupy(run);
        if (task != null) {
            raiseAttempt(task, running.run().attempt());
        }
        if (needed && task != null) {
            task.run = run;
            if (!running.checkpoint().isEmpty()) {
                JobEvents.keepCheckpoint(task, running.checkpoint());
            }
            jobEvents.markRunning(task.step.job);
            if (task.crashRecord().isExposed(running.run().attempt())) {
                trials.onAdopted(task, worker, nowMs);
            }
        } else {
            stop(run, nowMs, "no unfinished task for this run");
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
            run.onAccepted(nowMs);
            if (run.phase == Phase.STARTING) {
                run.phase = Phase.RUNNING;
            }
            run.onResolved();
            return;
        }
        if (answer == null) {
            run.startOutcomeUnknown = true;
            if (run.phase == Phase.STARTING) {
                run.phase = Phase.UNRESOLVED;
            }
            run.onResolved();
            return;
        }
        TaskState task = run.task;
        if (answer == Answer.OUTDATED && task != null) {
            // A run of the task has ended or was stopped there; the next report tells how.
            task.step.tasks.forEach(t -> t.lastAttempt += PoolTiming.ATTEMPT_GAP);
            run.outdated = true;
            run.phase = Phase.UNRESOLVED;
            run.onResolved();
            return;
        }
        free(run);
        if (task == null) {
            return;
        }
        StepState step = task.step;
        switch (answer) {
            case NO_TICKET -> step.expireTicket(run.worker.id());
            case UNHEALTHY -> failures.onRefused(run.worker, nowMs);
            default -> run.worker.lastHoldFailed = true;
        }
    }

    /** Releases a run that was never executed. */
    private void free(RunState run) {
        run.worker.release(run);
        TaskState task = run.task;
        if (task == null) {
            return;
        }
        endExposure(task, run.run.attempt());
        if (task.run == run) {
            task.run = null;
        }
    }

    /** The end of an attempt is known, so that nothing has to wait for what becomes of its worker. */
    private void endExposure(TaskState task, int attempt) {
        if (task.crashRecord().isExposed(attempt)) {
            task.crashRecord().endExposure();
            jobEvents.markDirty(task.step.job);
        }
    }

    private static void raiseAttempt(TaskState task, int attempt) {
        task.lastAttempt = Math.max(task.lastAttempt, attempt);
        task.step.highestAttempt = Math.max(task.step.highestAttempt, task.lastAttempt);
    }

    void onStopReply(RunState run, @Nullable Answer answer, long nowMs) {
        boolean mayBeOfEarlierIncarnation = run.onStopAnswered();
        if (!mayBeOfEarlierIncarnation && (answer == Answer.ACCEPTED || answer == Answer.OUTDATED)) {
            run.stopAccepted = true;
            run.onResolved();
        }
    }

    private void onRunEnded(WorkerState worker, EndedRun ended, long nowMs, long wallMs) {
        givenUp.remove(ended.run())
                .ifPresent(givenUpAtMs -> actions.add(
                        new PoolAction.EndAfterLoss(ended.run(), worker.entry, ended.end(), nowMs - givenUpAtMs)));
        RunState run = worker.runs.get(ended.run());
        if (run == null || run.task == null) {
            if (run != null) {
                worker.release(run);
            }
            applyUntracked(ended, nowMs, wallMs);
            return;
        }
        raiseAttempt(run.task, ended.run().attempt());
        endExposure(run.task, ended.run().attempt());
        if (!ended.checkpoint().isEmpty()) {
            JobEvents.keepCheckpoint(run.task, ended.checkpoint());
        }
        finish(run, ended.end(), nowMs, wallMs);
        // A run that fails just after its start never survives it, but hasn't crashed its worker either.
        if (ended.end() == RunEnd.FAILED
                && !run.task.step.spec.gang()
                && run.task.crashRecord().isSuspect()) {
            clear(run.task, List.of(run.task));
        }
    }

    /** Applies the end of a run that is not the run of its task: an earlier owner has started it. */
    private void applyUntracked(EndedRun ended, long nowMs, long wallMs) {
        if (!isKnown.test(ended.run().task().jobId())) {
            unknownJobEnds.add(ended);
            return;
        }
        TaskState task = find(unfinished, ended.run().task());
        if (task == null) {
            return;
        }
        raiseAttempt(task, ended.run().attempt());
        endExposure(task, ended.run().attempt());
        if (!ended.checkpoint().isEmpty()) {
            JobEvents.keepCheckpoint(task, ended.checkpoint());
        }
        jobEvents.apply(task, ended.run().attempt(), ended.end(), nowMs, wallMs);
        if (task.done && task.run != null) {
            stopIfRunning(task.run, nowMs, "another run of the task has succeeded");
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
            double relative = durations.onEnded(run, task.step, nowMs - run.sentAtMs, endsAreFresh);
            failures.onSucceeded(run, task.step, relative);
        } else if (end == RunEnd.FAILED) {
            failures.onFailed(run, task.step, nowMs);
            task.failedWorker = run.worker.id();
        } else {
            durations.onStopped(run, task.step);
        }
        jobEvents.apply(task, run.run.attempt(), end, nowMs, wallMs);
    }

    private void stop(RunState run, long nowMs, String reason) {
        actions.add(run.stop(nowMs, reason));
    }

    /**
     * Stops runs of incomplete gangs, filling runs beside serving ones, and evictable runs on draining workers.
     *
     * @param mayLackReports whether workers that have not reported yet may run the missing members of inherited gangs
     */
    void stopUnwantedRuns(Collection<WorkerState> workers, long nowMs, boolean mayLackReports) {
        for (WorkerState worker : workers) {
            for (RunState run : FillGuard.fillRunsToStop(worker)) {
                stopIfRunning(run, nowMs, "would interfere with a serving task");
            }
            for (RunState run : List.copyOf(worker.runs.values())) {
                TaskState task = run.task;
                if (task == null || run.phase != Phase.RUNNING) {
                    continue;
                }
                if (isInIncompleteGang(task) && !(mayLackReports && task.step.job.inherited)) {
                    stopIfRunning(run, nowMs, "gang is incomplete");
                } else if (worker.entry.draining() && shouldEvict(task)) {
                    stopIfRunning(run, nowMs, "worker is draining");
                }
            }
        }
    }

    private static boolean shouldEvict(TaskState task) {
        return task.step.spec.lasting() || (task.step.spec.checkpoint() && !task.step.spec.gang());
    }

    private static boolean isInIncompleteGang(TaskState task) {
        return task.step.spec.gang() && !task.done && task.step.tasks.stream().anyMatch(member -> member.run == null);
    }

    private void stopIfRunning(RunState run, long nowMs, String reason) {
        if (run.phase == Phase.RUNNING) {
            stop(run, nowMs, reason);
        }
    }
}
