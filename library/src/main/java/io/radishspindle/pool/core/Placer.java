package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.StepState.Ticket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.jspecify.annotations.Nullable;

/**
 * Chooses workers for the waiting tasks of one scheduling pass, which offers the steps in rank order. Used for one
 * pass; not thread-safe.
 *
 * <p>Invariant: capacity that is held for a higher-ranked step is given to a lower-ranked task only if the task is
 * expected to end before the held capacity can be used, or if the hold gives way to it and no other worker has room.
 */
final class Placer {
    /** Time after which a start without an answer no longer keeps others from the worker, in milliseconds. */
    private static final long MAX_UNPROVEN_MS = 1_500;

    /**
     * Time on probation after which a step may probe a worker that has failed there or fails elsewhere, in
     * milliseconds.
     */
    private static final long FAILING_PROBE_AFTER_MS = 300;

    private final List<WorkerRoom> rooms = new ArrayList<>();
    private final Map<WorkerState, WorkerRoom> roomByWorker = new HashMap<>();
    private final ExpectedEnds ends;
    private final PlacementScore score;
    private final long nowMs;
    private final Caution caution;

    Placer(Collection<WorkerState> workers, ExpectedEnds ends, Caution caution, long nowMs) {
        this.ends = ends;
        this.caution = caution;
        this.nowMs = nowMs;
        for (WorkerState worker : workers) {
            WorkerRoom room = new WorkerRoom(worker, ends, nowMs);
            rooms.add(room);
            roomByWorker.put(worker, room);
        }
        score = new PlacementScore(workers);
    }

    List<WorkerRoom> rooms() {
        return rooms;
    }

    WorkerRoom room(WorkerState worker) {
        WorkerRoom room = roomByWorker.get(worker);
        if (room == null) {
            throw new IllegalArgumentException("worker " + worker.id() + " is not part of this pass");
        }
        return room;
    }

    /**
     * Returns the best worker for a task, or null if none can run it now. A hold that gives way to the task is dropped,
     * so that further tasks use the same worker rather than others that are held.
     */
    @Nullable
    WorkerState choose(TaskState task) {
        StepState step = task.step;
        Resources need = step.spec.reserved();
        long endMs = ends.endOfStartMs(step);
        WorkerRoom best =
                best(room -> room.admits(need, endMs) && mayStart(task, room), worker -> score.of(task, worker));
        if (best == null && step.spec.lasting()) {
            best = best(
                    room -> room.admitsInsteadOfHeld(step, need) && mayStart(task, room),
                    worker -> score.of(task, worker));
            if (best != null) {
                best.dropHold();
            }
        }
        return best == null ? null : best.worker;
    }

    /** Checks all but the free capacity of the worker. */
    private boolean mayStart(TaskState task, WorkerRoom room) {
        return room.usable && mayRun(task, room.worker) && hasTicket(task.step, room.worker);
    }

    /** Returns the worker on which the trial of a suspect does least harm, or null if none can run it now. */
    @Nullable
    WorkerState chooseForTrial(TaskState task, Predicate<WorkerState> allowed) {
        Resources need = task.step.spec.reserved();
        WorkerRoom best = best(
                room -> allowed.test(room.worker) && canTry(task, room, need), worker -> score.ofTrial(task, worker));
        return best == null ? null : best.worker;
    }

    /** Returns the eligible worker with the lowest score, or null if there is none. */
    private @Nullable WorkerRoom best(Predicate<WorkerRoom> eligible, ToDoubleFunction<WorkerState> scoreOf) {
        WorkerRoom best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerRoom room : rooms) {
            if (eligible.test(room)) {
                double candidate = scoreOf.applyAsDouble(room.worker);
                if (candidate < bestScore) {
                    best = room;
                    bestScore = candidate;
                }
            }
        }
        return best;
    }

    /** Returns whether the trial of a suspect that needs {@code amount} on a worker may start there. */
    boolean canTry(TaskState task, WorkerRoom room, Resources amount) {
        StepState step = task.step;
        return room.usable
                && admits(step, room, amount)
                && mayRun(step, room.worker, task.crashRecord())
                && hasTicket(step, room.worker);
    }

    /** Returns the room of a worker; null if it is not part of this pass. */
    @Nullable
    WorkerRoom roomOf(String workerId) {
        return rooms.stream()
                .filter(room -> room.worker.id().equals(workerId))
                .findFirst()
                .orElse(null);
    }

    /** Returns a worker for each task of a gang, in the order of the tasks; empty if they don't all fit. */
    List<WorkerState> chooseGang(StepState step) {
        List<WorkerState> chosen = new ArrayList<>();
        Map<WorkerState, Resources> taken = new HashMap<>();
        long endMs = ends.endOfStartMs(step);
        for (TaskState task : step.tasks) {
            WorkerState best = null;
            double bestScore = Double.MAX_VALUE;
            for (WorkerRoom room : rooms) {
                WorkerState worker = room.worker;
                Resources amount = taken.getOrDefault(worker, Resources.NONE).plus(step.spec.reserved());
                if (!room.usable || !room.admits(amount, endMs) || !mayRun(step, worker) || !hasTicket(step, worker)) {
                    continue;
                }
                if (step.spec.maxPerWorker() > 0 && count(chosen, worker) >= step.spec.maxPerWorker()) {
                    continue;
                }
                double candidate = score.of(task, worker) + rackPenalty(step, chosen, worker);
                if (candidate < bestScore) {
                    best = worker;
                    bestScore = candidate;
                }
            }
            if (best == null) {
                return List.of();
            }
            chosen.add(best);
            taken.merge(best, step.spec.reserved(), Resources::plus);
        }
        return chosen;
    }

    /** Checks the rules that don't depend on free capacity: label, spread, size, health, trials. */
    boolean mayRun(StepState step, WorkerState worker) {
        return mayRun(step, worker, step.spec.gang() ? step.tasks.get(0).crashRecord() : null);
    }

    private boolean mayRun(TaskState task, WorkerState worker) {
        return ruleAgainst(task.step, worker, null, task.hasSurvivedStart()) == Obstacle.NONE;
    }

    /** @param suspect whose trial would start on the worker; null for another start */
    private boolean mayRun(StepState step, WorkerState worker, @Nullable CrashRecord suspect) {
        return ruleAgainst(step, worker, suspect, false) == Obstacle.NONE;
    }

    /**
     * @param suspect whose trial would start on the worker; null for another start
     * @param proven whether an earlier run of the task has survived its start
     */
    private Obstacle ruleAgainst(StepState step, WorkerState worker, @Nullable CrashRecord suspect, boolean proven) {
        if (worker.trial.exclude(suspect)) {
            return Obstacle.CLOSED_FOR_TRIAL;
        }
        if (!step.spec.label().isEmpty() && !worker.entry.labels().contains(step.spec.label())) {
            return Obstacle.LABEL;
        }
        if (!step.spec.reserved().fitsIn(worker.entry.capacity())) {
            return Obstacle.TOO_SMALL;
        }
        if (worker.entry.draining() || !worker.listed) {
            return Obstacle.DRAINING;
        }
        if (step.spec.maxPerWorker() > 0 && step.tasksOn(worker.id()) >= step.spec.maxPerWorker()) {
            return Obstacle.SPREAD;
        }
        if (worker.health.isSuspended(nowMs)) {
            return Obstacle.SUSPENDED;
        }
        if (worker.health.isOnProbation() && !mayProbe(step, worker)) {
            return Obstacle.PROBATION;
        }
        if (!FillGuard.mayRunOn(step, worker)) {
            return Obstacle.SERVING_TASK;
        }
        boolean held = caution.isNeeded()
                && suspect == null
                && !proven
                && (unprovenSteps(worker, step) >= caution.maxUnprovenSteps(nowMs - step.readySinceMs)
                        || isBeingProvenElsewhere(step, worker));
        return held ? Obstacle.UNPROVEN_STARTS : Obstacle.NONE;
    }

    /**
     * Whether a run of the step may probe a worker that was suspended. Steps that have failed come last, and those that
     * fail elsewhere as well don't keep others from probing.
     */
    private boolean mayProbe(StepState step, WorkerState worker) {
        WorkerHealth health = worker.health;
        boolean atFault = isAtFault(step, worker);
        if ((atFault || step.outcomes.hasFailedOn(worker.id())) && health.probationMs(nowMs) < FAILING_PROBE_AFTER_MS) {
            return false;
        }
        return atFault
                || worker.runs.values().stream()
                        .noneMatch(run -> health.isProbe(run.sentAtMs)
                                && (run.task == null || !isAtFault(run.task.step, worker)));
    }

    /** Whether failures of the step say nothing of the worker. */
    private boolean isAtFault(StepState step, WorkerState worker) {
        return worker.health.outlivedFailureOf(step, worker.id()) || step.failsElsewhere(worker.id(), 0, nowMs);
    }

    /**
     * Whether a worker would take a task of the step if others that were just started there had survived their start.
     */
    boolean awaitsProof(StepState step) {
        return caution.isNeeded()
                && rooms.stream()
                        .anyMatch(room -> room.usable
                                && admits(step, room, step.spec.reserved())
                                && hasTicket(step, room.worker)
                                && ruleAgainst(step, room.worker, null, false) == Obstacle.UNPROVEN_STARTS);
    }

    /**
     * Whether a step of which no task has survived its start has started one on another worker: it puts one at risk at
     * a time.
     */
    private boolean isBeingProvenElsewhere(StepState step, WorkerState worker) {
        RunState run = step.lastStarted;
        return run != null
                && run.worker != worker
                && !step.isProven()
                && run.task != null
                && run.task.run == run
                && isUnproven(run);
    }

    private boolean isUnproven(RunState run) {
        return nowMs - run.sentAtMs < MAX_UNPROVEN_MS && !caution.hasSurvivedStart(run, nowMs);
    }

    /** Number of other steps with a task on the worker that has not survived its start. */
    private long unprovenSteps(WorkerState worker, StepState step) {
        return worker.runs.values().stream()
                .filter(run ->
                        run.task != null && run.task.step != step && !run.task.hasSurvivedStart() && isUnproven(run))
                .map(run -> run.task == null ? step : run.task.step)
                .distinct()
                .count();
    }

    /** Why a task doesn't start on a worker with free capacity for it; {@link Obstacle#NONE} if it may. */
    Obstacle obstacleTo(TaskState task, WorkerRoom room) {
        StepState step = task.step;
        WorkerState worker = room.worker;
        Obstacle unusable = worker.unusableBecause(nowMs);
        if (unusable != Obstacle.NONE) {
            return unusable;
        }
        CrashRecord record = task.crashRecord();
        Obstacle rule = ruleAgainst(step, worker, record.isSuspect() ? record : null, task.hasSurvivedStart());
        if (rule != Obstacle.NONE) {
            return rule;
        }
        if (!mayBeApproved(step, worker)) {
            return Obstacle.NOT_APPROVED;
        }
        if (!admits(step, room, step.spec.reserved())) {
            return Obstacle.HELD;
        }
        if (hasTicket(step, worker)) {
            return Obstacle.NONE;
        }
        return step.tickets.containsKey(worker.id()) ? Obstacle.TICKET_EXPIRED : Obstacle.NOT_QUERIED;
    }

    /** Returns whether the step may have an amount of the worker's capacity now, as far as holds are concerned. */
    private boolean admits(StepState step, WorkerRoom room, Resources amount) {
        return room.admits(amount, ends.endOfStartMs(step)) || room.admitsInsteadOfHeld(step, amount);
    }

    boolean hasTicket(StepState step, WorkerState worker) {
        return hasTicketUntil(step, worker, nowMs);
    }

    /** Returns whether a start at {@code untilMs} would be accepted with the ticket that is known now. */
    boolean hasTicketUntil(StepState step, WorkerState worker, long untilMs) {
        if (step.job.job.advice() == null) {
            return true;
        }
        Ticket ticket = step.tickets.get(worker.id());
        return ticket != null && ticket.validUntilMs() > untilMs && ticket.bootWallMs() == worker.bootWallMs;
    }

    /** Returns whether the advice service has approved the worker or was not queried about it yet. */
    boolean mayBeApproved(StepState step, WorkerState worker) {
        return step.job.job.advice() == null
                || !step.queriedWorkers.contains(worker.id())
                || step.tickets.containsKey(worker.id());
    }

    private static double rackPenalty(StepState step, List<WorkerState> chosen, WorkerState worker) {
        boolean otherRack = !chosen.isEmpty() && !chosen.get(0).entry.rack().equals(worker.entry.rack());
        return step.spec.sameRack() && otherRack ? 6 : 0;
    }

    private static long count(List<WorkerState> chosen, WorkerState worker) {
        return chosen.stream().filter(other -> other == worker).count();
    }
}
