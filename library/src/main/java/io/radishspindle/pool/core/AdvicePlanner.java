package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.StepState.Ticket;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.port.AdviceService;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides for which step advice is asked next. Which workers are approved never changes, but tickets expire: a step
 * that waits for room has its tickets renewed for approved workers only. Stateless; thread-safe.
 */
final class AdvicePlanner {
    /** Tickets are renewed for this many workers per waiting task, so that calls stay short. */
    private static final int CANDIDATES_PER_TASK = 2;

    private static final int MIN_CANDIDATES = 3;
    /** Workers named in a first call; the objective of a job allows for a call that names 30. */
    private static final int USUAL_CANDIDATES = 30;

    private AdvicePlanner() {}

    static Optional<PoolAction.Advise> plan(
            StepState step, Collection<WorkerState> workers, Placer placer, long nowMs) {
        AdvicePolicy policy = step.job.job.advice();
        if (policy == null || step.adviceInFlight || step.waitingTasks() == 0) {
            return Optional.empty();
        }
        List<String> named = unasked(step, workers, placer, nowMs);
        if (named.isEmpty()) {
            named = expiring(step, workers, placer, nowMs, nowMs + policy.callMs(MIN_CANDIDATES));
        }
        if (named.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new PoolAction.Advise(step.name(), List.copyOf(named), policy.callMs(named.size())));
    }

    /** In a large pool the workers with the most room come first; the others follow if tasks still wait then. */
    private static List<String> unasked(StepState step, Collection<WorkerState> workers, Placer placer, long nowMs) {
        List<WorkerState> named = new ArrayList<>();
        for (WorkerState worker : workers) {
            if (worker.isUsable(nowMs) && !step.askedWorkers.contains(worker.id()) && placer.mayRun(step, worker)) {
                named.add(worker);
            }
        }
        long limit = Math.min(
                AdviceService.MAX_WORKERS, Math.max(USUAL_CANDIDATES, CANDIDATES_PER_TASK * step.waitingTasks()));
        if (named.size() > limit) {
            named.sort(Comparator.comparingLong((WorkerState worker) -> -room(placer, worker)));
        }
        return named.stream().limit(limit).map(WorkerState::id).toList();
    }

    /** Room for comparison: an accelerator counts as one core. */
    private static long room(Placer placer, WorkerState worker) {
        Resources free = placer.futureFree(worker);
        return free.milliCores() + 1_000L * free.accelerators();
    }

    private static List<String> expiring(
            StepState step, Collection<WorkerState> workers, Placer placer, long nowMs, long untilMs) {
        List<WorkerState> approved = new ArrayList<>();
        int fresh = 0;
        for (WorkerState worker : workers) {
            Ticket ticket = step.tickets.get(worker.id());
            // A worker that can't be used now would otherwise look free and take the place of others.
            if (ticket == null || !worker.isUsable(nowMs) || !placer.mayRun(step, worker)) {
                continue;
            }
            if (ticket.validUntilMs() > untilMs && ticket.bootWallMs() == worker.bootWallMs) {
                fresh++;
            } else {
                approved.add(worker);
            }
        }
        long wanted = Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * step.waitingTasks()) - fresh;
        approved.sort(Comparator.comparingLong((WorkerState worker) -> -room(placer, worker)));
        return approved.stream().limit(Math.max(0, wanted)).map(WorkerState::id).toList();
    }
}
