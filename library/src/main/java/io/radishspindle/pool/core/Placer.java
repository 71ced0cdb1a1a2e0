package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.StepState.Ticket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses workers for the waiting tasks of one scheduling pass, which offers the steps in rank order. Used for one
 * pass; not thread-safe.
 *
 * <p>Invariant: a worker that is reserved for a higher-ranked gang receives no lower-ranked tasks.
 */
final class Placer {
    /** Granularity of processor usage in the score: workers that differ by less count as equally used. */
    private static final double USAGE_STEP = 0.05;

    private final Collection<WorkerState> workers;
    private final long nowMs;
    private final Set<WorkerState> reservedForGangs = new HashSet<>();
    private final Map<WorkerState, Resources> reservedCapacity = new HashMap<>();
    private boolean ticketMissing;

    Placer(Collection<WorkerState> workers, long nowMs) {
        this.workers = workers;
        this.nowMs = nowMs;
    }

    /** Returns whether the last choice skipped a worker only because its ticket was missing or had expired. */
    boolean lacksTicket() {
        return ticketMissing;
    }

    /** Returns the best worker for a task, or null if none can run it now. */
    @Nullable
    WorkerState choose(TaskState task) {
        ticketMissing = false;
        WorkerState best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerState worker : workers) {
            if (!fits(task.step, worker, free(worker)) || reservedForGangs.contains(worker)) {
                continue;
            }
            if (!hasTicket(task.step, worker)) {
                ticketMissing |= mayBeApproved(task.step, worker);
                continue;
            }
            double score = score(task, worker);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return best;
    }

    /** Returns a worker for each task of a gang, in the order of the tasks; empty if they don't all fit. */
    List<WorkerState> chooseGang(StepState step) {
        List<WorkerState> chosen = new ArrayList<>();
        Map<WorkerState, Resources> taken = new HashMap<>();
        for (TaskState task : step.tasks) {
            WorkerState best = null;
            double bestScore = Double.MAX_VALUE;
            for (WorkerState worker : workers) {
                Resources free = free(worker).minus(taken.getOrDefault(worker, Resources.NONE));
                if (reservedForGangs.contains(worker) || !fits(step, worker, free) || !hasTicket(step, worker)) {
                    continue;
                }
                if (step.spec.maxPerWorker() > 0 && count(chosen, worker) >= step.spec.maxPerWorker()) {
                    continue;
                }
                double score = score(task, worker) + rackPenalty(step, chosen, worker);
                if (score < bestScore) {
                    best = worker;
                    bestScore = score;
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

    /** Reserves workers for a waiting gang, so that lower-ranked tasks of this pass don't use them. */
    void reserveForGang(StepState step) {
        List<WorkerState> candidates = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (mayRun(step, worker) && mayBeApproved(step, worker) && !reservedForGangs.contains(worker)) {
                candidates.add(worker);
            }
        }
        candidates.sort((a, b) -> Integer.compare(freeAccelerators(b), freeAccelerators(a)));
        int missing = step.tasks.size();
        for (WorkerState worker : candidates) {
            if (missing <= 0) {
                return;
            }
            reservedForGangs.add(worker);
            missing -= Math.max(1, membersThatFit(step, worker));
        }
    }

    private static int membersThatFit(StepState step, WorkerState worker) {
        Resources need = step.spec.reserved();
        Resources capacity = worker.entry.capacity();
        int byAccelerators =
                need.accelerators() == 0 ? Integer.MAX_VALUE : capacity.accelerators() / need.accelerators();
        int byCores = need.milliCores() == 0 ? Integer.MAX_VALUE : (int) (capacity.milliCores() / need.milliCores());
        return Math.min(byAccelerators, byCores);
    }

    private static int freeAccelerators(WorkerState worker) {
        return worker.free().accelerators();
    }

    /** Free capacity of a worker once its stopping runs have ended, less what this pass has reserved there. */
    Resources futureFree(WorkerState worker) {
        Resources stopping = Resources.NONE;
        for (RunState run : worker.runs.values()) {
            if (run.phase == RunState.Phase.STOPPING) {
                stopping = stopping.plus(run.reserved);
            }
        }
        return worker.free().plus(stopping).minus(reservedCapacity.getOrDefault(worker, Resources.NONE));
    }

    void reserveCapacity(WorkerState worker, Resources amount) {
        reservedCapacity.merge(worker, amount, Resources::plus);
    }

    /** Free capacity now, less what is reserved for higher-ranked tasks of this pass. */
    private Resources free(WorkerState worker) {
        Resources reservedHere = reservedCapacity.get(worker);
        if (reservedHere == null) {
            return worker.free();
        }
        Resources future = futureFree(worker);
        Resources now = worker.free();
        return new Resources(
                Math.min(now.milliCores(), future.milliCores()),
                Math.min(now.memoryMib(), future.memoryMib()),
                Math.min(now.accelerators(), future.accelerators()));
    }

    private boolean fits(StepState step, WorkerState worker, Resources free) {
        return step.spec.reserved().fitsIn(free) && mayRun(step, worker) && worker.isUsable(nowMs);
    }

    /** Checks the rules that don't depend on free capacity: label, spread, size, health. */
    boolean mayRun(StepState step, WorkerState worker) {
        if (!step.spec.label().isEmpty() && !worker.entry.labels().contains(step.spec.label())) {
            return false;
        }
        if (!step.spec.reserved().fitsIn(worker.entry.capacity()) || worker.entry.draining() || !worker.listed) {
            return false;
        }
        if (step.spec.maxPerWorker() > 0 && step.tasksOn(worker.id()) >= step.spec.maxPerWorker()) {
            return false;
        }
        if (worker.health.isSuspended(nowMs) || (worker.health.isOnProbation() && !worker.runs.isEmpty())) {
            return false;
        }
        return FillGuard.mayRunOn(step, worker);
    }

    boolean hasTicket(StepState step, WorkerState worker) {
        if (step.job.job.advice() == null) {
            return true;
        }
        Ticket ticket = step.tickets.get(worker.id());
        return ticket != null && ticket.validUntilMs() > nowMs && ticket.bootWallMs() == worker.bootWallMs;
    }

    /** Returns whether the advice service has approved the worker or was not queried about it yet. */
    boolean mayBeApproved(StepState step, WorkerState worker) {
        return step.job.job.advice() == null
                || !step.queriedWorkers.contains(worker.id())
                || step.tickets.containsKey(worker.id());
    }

    private double score(TaskState task, WorkerState worker) {
        StepState step = task.step;
        Resources capacity = worker.entry.capacity();
        double usage = capacity.milliCores() == 0 ? 1 : (double) worker.used.milliCores() / capacity.milliCores();
        if (capacity.accelerators() > 0) {
            usage = (double) worker.used.accelerators() / capacity.accelerators();
        }
        // Lasting and filling tasks go to the least used workers; others are packed, so that large tasks find capacity.
        boolean spread = step.spec.lasting() || step.spec.fills();
        double score = Math.round((spread ? usage : 1 - usage) / USAGE_STEP) * USAGE_STEP;
        score += 3 * Math.max(0, worker.health.slowness() - 1);
        if (worker.health.isSlow()) {
            score += 10;
        }
        if (worker.id().equals(task.failedWorker)) {
            score += 5;
        }
        if (!step.spec.rack().isEmpty() && !step.spec.rack().equals(worker.entry.rack())) {
            score += 4;
        }
        if (step.spec.lasting()) {
            score += step.tasksOn(worker.id());
        }
        return score;
    }

    private static double rackPenalty(StepState step, List<WorkerState> chosen, WorkerState worker) {
        boolean otherRack = !chosen.isEmpty() && !chosen.get(0).entry.rack().equals(worker.entry.rack());
        return step.spec.sameRack() && otherRack ? 6 : 0;
    }

    private static long count(List<WorkerState> chosen, WorkerState worker) {
        return chosen.stream().filter(other -> other == worker).count();
    }
}
