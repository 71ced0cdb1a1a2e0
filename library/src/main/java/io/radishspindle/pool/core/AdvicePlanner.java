package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.StepState.Ticket;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.port.AdviceService;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Plans the next call to the advice service for a step. The set of approved workers never changes, but tickets
 * expire: for a step that waits for capacity, tickets are renewed for approved workers only. Stateless; thread-safe.
 *
 * <p>Invariant: while a task fits on an approved worker without a ticket and on too few with one, the next renewal
 * includes that worker, however many cores are free on workers on which the task doesn't fit.
 */
final class AdvicePlanner {
    /** Tickets are renewed for this many workers per waiting task, so that calls stay short. */
    private static final int CANDIDATES_PER_TASK = 2;

    private static final int MIN_CANDIDATES = 3;
    /** Workers in a first call; the objective of a job allows for the duration of a call with 30 workers. */
    private static final int FIRST_CALL_CANDIDATES = 30;

    private AdvicePlanner() {}

    static Optional<PoolAction.Advise> plan(StepState step, Placer placer, ApprovalRates approvals, long nowMs) {
        AdvicePolicy policy = step.job.job.advice();
        if (policy == null || step.adviceInFlight || step.waitingTasks() == 0) {
            return Optional.empty();
        }
        List<WorkerRoom> untried = notYetQueried(step, placer);
        long untilMs = nowMs + PoolTiming.FORECAST_HORIZON_MS;
        boolean untriedHasRoom = untried.stream().anyMatch(room -> fits(step, room, untilMs));
        List<String> candidates = List.of();
        // Tickets of approved workers are renewed before workers without room are tried.
        if (!untriedHasRoom) {
            candidates = withExpiringTickets(step, placer, nowMs, nowMs + policy.callMs(MIN_CANDIDATES));
        }
        if (candidates.isEmpty()) {
            candidates = best(step, untried, firstCallWorkers(step, approvals), untilMs);
        }
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new PoolAction.Advise(step.name(), List.copyOf(candidates), policy.callMs(candidates.size())));
    }

    /** Workers in a call, such that enough of them are approved for the waiting tasks at the rate of the queue. */
    private static long firstCallWorkers(StepState step, ApprovalRates approvals) {
        double rate = approvals.rate(step.job.job.queue());
        long needed = (long) Math.ceil(CANDIDATES_PER_TASK * step.waitingTasks() / (step.spec.gang() ? rate : 1));
        return Math.min(AdviceService.MAX_WORKERS, Math.max(FIRST_CALL_CANDIDATES, needed));
    }

    private static List<WorkerRoom> notYetQueried(StepState step, Placer placer) {
        List<WorkerRoom> found = new ArrayList<>();
        for (WorkerRoom room : placer.rooms()) {
            if (room.usable && !step.queriedWorkers.contains(room.worker.id()) && placer.mayRun(step, room.worker)) {
                found.add(room);
            }
        }
        return found;
    }

    /** The workers on which a task fits, then those with the most free capacity; later calls cover the others. */
    private static List<String> best(StepState step, List<WorkerRoom> rooms, long limit, long untilMs) {
        return rooms.stream()
                .sorted(Comparator.comparing((WorkerRoom room) -> !fits(step, room, untilMs))
                        .thenComparingLong(room -> -freeCapacityScore(room, untilMs)))
                .limit(limit)
                .map(room -> room.worker.id())
                .toList();
    }

    private static boolean fits(StepState step, WorkerRoom room, long untilMs) {
        return step.spec.reserved().fitsIn(room.freeFor(step, untilMs));
    }

    /** Free capacity as a single number for sorting: an accelerator counts as one core. */
    private static long freeCapacityScore(WorkerRoom room, long untilMs) {
        Resources free = room.freeAt(untilMs);
        return free.milliCores() + 1_000L * free.accelerators();
    }

    private static List<String> withExpiringTickets(StepState step, Placer placer, long nowMs, long untilMs) {
        long roomUntilMs = nowMs + PoolTiming.FORECAST_HORIZON_MS;
        List<WorkerRoom> approved = new ArrayList<>();
        List<WorkerRoom> fresh = new ArrayList<>();
        for (WorkerRoom room : placer.rooms()) {
            WorkerState worker = room.worker;
            Ticket ticket = step.tickets.get(worker.id());
            // A worker that is unusable now would look free and displace others.
            if (ticket == null || !room.usable || !placer.mayRun(step, worker)) {
                continue;
            }
            if (ticket.validUntilMs() > untilMs && ticket.bootWallMs() == worker.bootWallMs) {
                fresh.add(room);
            } else {
                approved.add(room);
            }
        }
        // A ticket for a worker without room doesn't replace one for a worker with room.
        boolean fitsWithoutTicket = approved.stream().anyMatch(room -> fits(step, room, roomUntilMs));
        long usable = fresh.stream()
                .filter(room -> !fitsWithoutTicket || fits(step, room, roomUntilMs))
                .count();
        long needed = Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * step.waitingTasks()) - usable;
        long limit = Math.min(AdviceService.MAX_WORKERS, Math.max(0, needed));
        return best(step, approved, limit, roomUntilMs);
    }
}
