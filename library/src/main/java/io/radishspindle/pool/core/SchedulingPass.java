package io.radishspindle.pool.core;

import io.radishspindle.pool.core.StepState.Ticket;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/** Places the waiting tasks of the ready steps in rank order. Used for one scheduling pass; not thread-safe. */
final class SchedulingPass {
    /** Highest number of waiting gangs that reserve workers; more would leave too much of the pool idle. */
    private static final int MAX_RESERVING_GANGS = 3;

    /**
     * Number of waiting gangs for which advice is requested before capacity is expected, so that the next gangs have
     * tickets when one starts; more would take the channels from steps that could start.
     */
    private static final int MAX_ASKING_GANGS = 8;

    private final List<PoolAction> actions;
    private final long nowMs;
    private final Placer placer;
    private final Preemptor preemptor;
    private final UntriedRoom untried;
    private final GangReservation reservation;
    private final PreemptionBudget budget;
    private final AdviceChannels channels;
    private final CapacityForecast forecast;
    private final ApprovalRates approvals;
    private final LimitedStarts limits;
    private final StartPermission permission;
    private final Trials trials;
    private final TrialPlacement trialPlacement;
    private final Set<JobState> dirty;
    private int reservingGangs;
    private int waitingGangs;
    private boolean foundNoRoom;

    SchedulingPass(
            Collection<WorkerState> workers,
            List<PoolAction> actions,
            long nowMs,
            AdviceChannels channels,
            ApprovalRates approvals,
            TenantLimits limits,
            ExpectedEnds ends,
            PreemptionBudget budget,
            StartPermission permission,
            Trials trials,
            Caution caution,
            Set<JobState> dirty) {
        this.permission = permission;
        this.trials = trials;
        this.dirty = dirty;
        this.limits = new LimitedStarts(limits, nowMs);
        this.actions = actions;
        this.nowMs = nowMs;
        this.channels = channels;
        this.approvals = approvals;
        this.budget = budget;
        placer = new Placer(workers, ends, caution, nowMs);
        preemptor = new Preemptor(placer, ends, budget, nowMs);
        forecast = new CapacityForecast(placer, approvals, nowMs + PoolTiming.FORECAST_HORIZON_MS);
        trialPlacement = new TrialPlacement(placer, trials, dirty, nowMs);
        untried = new UntriedRoom(placer, nowMs + Work.STOP_AND_RESTORE_MS);
        reservation = new GangReservation(placer, nowMs);
        budget.refill(
                workers.stream()
                        .mapToDouble(worker -> Work.cores(worker.entry.capacity()))
                        .sum(),
                nowMs);
    }

    void run(List<StepState> ranked) {
        for (StepState step : ranked) {
            if (!limits.allow(step)) {
                continue;
            }
            if (step.spec.gang()) {
                placeGang(step);
            } else {
                placeTasks(step);
            }
            int expectedStarts = limits.reserve(step);
            if (expectedStarts > 0) {
                requestAdvice(step, expectedStarts);
            }
        }
    }

    /**
     * Requests advice for steps that can't start yet but may soon, in rank order; called after {@link #run}, so that
     * steps that may start come first.
     */
    void prepare(List<StepState> ranked) {
        for (StepState step : ranked) {
            if (limits.allow(step)) {
                requestAdvice(step, (int) step.waitingTasks());
            }
        }
    }

    /** The placement of this pass, with what it has started and what it holds. */
    Placer placer() {
        return placer;
    }

    /** Returns whether the pass found no room for some task that may start. */
    boolean foundNoRoom() {
        return foundNoRoom;
    }

    /** While few channels are free, advice is requested only for steps that are likely to start before it expires. */
    private void requestAdvice(StepState step, int expectedStarts) {
        boolean expected = forecast.expectsCapacity(step);
        boolean first = step.spec.gang() && waitingGangs++ < MAX_ASKING_GANGS;
        if (expected) {
            forecast.reserve(step, expectedStarts);
        }
        if (step.job.job.advice() == null || (!expected && !first && !channels.arePlentiful())) {
            return;
        }
        AdvicePlanner.plan(step, placer, approvals, nowMs)
                .filter(advise -> channels.tryAcquire(advise.expectedMs()))
                .ifPresent(advise -> {
                    step.adviceInFlight = true;
                    step.adviceDueMs = nowMs + advise.expectedMs();
                    actions.add(advise);
                });
    }

    private void placeTasks(StepState step) {
        boolean heldBack = trials.holdsBack(step, nowMs);
        int waiting = 0;
        for (TaskState task : step.tasks) {
            if (!permission.mayStart(task) || nowMs < task.earliestStartMs) {
                continue;
            }
            boolean suspect = task.crashRecord().isSuspect();
            if (heldBack && !suspect) {
                continue;
            }
            if (waiting > 0) {
                waiting++;
                continue;
            }
            if (!limits.allow(step)) {
                return;
            }
            if (suspect ? !startTrial(task) : !start(task)) {
                waiting = 1;
            }
            if (waiting > 0 && !suspect) {
                trials.onOtherWaits(nowMs);
            }
        }
        // Calls for advice come before stops: they cost no work.
        if (waiting > 0 && !untried.existsFor(step) && !placer.awaitsProof(step)) {
            foundNoRoom = true;
            if (mayPreempt(step)) {
                apply(step, preemptor.planTasks(step, limits.room(step, waiting)));
            }
        }
    }

    /** Returns false if there was no room for the task. */
    private boolean start(TaskState task) {
        WorkerState worker = placer.choose(task);
        if (worker == null) {
            return false;
        }
        start(task, worker, task.lastAttempt + 1, task.checkpoint);
        return true;
    }

    /** Starts the trial of a suspect, or of a gang by its first task, if it may; returns false if there was no room. */
    private boolean startTrial(TaskState task) {
        TrialPlacement.Decision decision = trialPlacement.place(task);
        List<WorkerState> chosen = decision.workers();
        if (!chosen.isEmpty()) {
            CrashRecord record = task.crashRecord();
            StepState step = task.step;
            List<TaskState> unit = step.spec.gang() ? step.tasks : List.of(task);
            for (int i = 0; i < chosen.size(); i++) {
                start(unit.get(i), chosen.get(i), unit.get(i).lastAttempt, unit.get(i).checkpoint);
            }
            actions.add(new PoolAction.TrialStarted(
                    task.name,
                    task.lastAttempt,
                    chosen.stream().map(WorkerState::id).toList(),
                    record.describe()));
        }
        return !decision.lacksRoom();
    }

    private void placeGang(StepState step) {
        if (step.tasks.stream().anyMatch(task -> !permission.mayStart(task) || nowMs < task.earliestStartMs)) {
            return;
        }
        boolean suspect = step.tasks.get(0).crashRecord().isSuspect();
        if (suspect && startTrial(step.tasks.get(0))) {
            return;
        }
        List<WorkerState> chosen = suspect ? List.of() : placer.chooseGang(step);
        if (!chosen.isEmpty()) {
            int attempt = 1
                    + step.tasks.stream()
                            .mapToInt(task -> task.lastAttempt)
                            .max()
                            .orElse(0);
            String checkpoint = step.tasks.get(0).checkpoint;
            for (int i = 0; i < chosen.size(); i++) {
                start(step.tasks.get(i), chosen.get(i), attempt, checkpoint);
            }
            return;
        }
        boolean mayFit = untried.mayHoldGang(step);
        foundNoRoom |= !mayFit;
        if (mayPreempt(step) && !mayFit) {
            PreemptionPlan plan = preemptor.planGang(step);
            apply(step, plan);
            if (!plan.isEmpty()) {
                return;
            }
        }
        if (reservingGangs < MAX_RESERVING_GANGS && mayGetTickets(step) && reservation.reserveFor(step)) {
            reservingGangs++;
        }
    }

    /** Returns whether the step has tickets or a call for them in flight. */
    private boolean mayGetTickets(StepState step) {
        return step.job.job.advice() == null
                || step.adviceInFlight
                || step.tickets.values().stream().anyMatch(ticket -> ticket.validUntilMs() > nowMs);
    }

    private boolean mayPreempt(StepState step) {
        return !step.spec.fills() && !step.expired && nowMs - step.readySinceMs > PoolTiming.PREEMPT_AFTER_MS;
    }

    /** Stops the victims of a plan and holds the capacity for its tasks during this pass. */
    private void apply(StepState step, PreemptionPlan plan) {
        budget.spend(plan.lostCoreMs());
        String reason = plan.reason(step);
        for (RunState run : plan.victims()) {
            if (run.task != null) {
                run.task.preempted = true;
            }
            actions.add(run.stop(nowMs, reason));
            placer.room(run.worker).onRunsStopped();
        }
        plan.rooms().forEach(room -> room.hold(step.spec.reserved(), nowMs + ExpectedEnds.STOP_MS));
    }

    private void start(TaskState task, WorkerState worker, int attempt, String checkpoint) {
        StepState step = task.step;
        RunState run = new RunState(
                new Run(task.name, attempt), worker, step.spec.reserved(), task, step.job.job.tenant(), nowMs);
        task.run = run;
        step.lastStarted = run;
        task.waitsSinceMs = TaskState.NOT_WAITING;
        if (task.lastAttempt == 0) {
            step.lastFirstStartMs = nowMs;
        }
        task.lastAttempt = attempt;
        step.highestAttempt = Math.max(step.highestAttempt, attempt);
        worker.occupy(run);
        if (step.job.phase == JobPhase.QUEUED) {
            step.job.phase = JobPhase.RUNNING;
            dirty.add(step.job);
        }
        Ticket ticket = step.tickets.get(worker.id());
        String text = ticket == null ? "" : ticket.text();
        actions.add(new PoolAction.Start(
                worker.entry, PoolScheduler.order(run, worker.grantLease(nowMs, LeaseSource.START), checkpoint, text)));
    }
}
