package io.radishspindle.pool.core;

import io.radishspindle.pool.core.StepState.Ticket;
import io.radishspindle.pool.port.AdviceService.Advice;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Records the results of advice calls at their steps. Stateless; thread-safe. */
final class AdviceResults {
    private AdviceResults() {}

    /** @param advice null if the call failed */
    static void apply(
            StepState step,
            List<String> queried,
            @Nullable Advice advice,
            Map<String, WorkerState> workers,
            ApprovalRates approvals,
            long nowMs) {
        step.adviceInFlight = false;
        if (advice == null) {
            return;
        }
        List<String> untried =
                queried.stream().filter(id -> !step.queriedWorkers.contains(id)).toList();
        int approved =
                (int) untried.stream().filter(advice.tickets()::containsKey).count();
        approvals.record(step.job.job.queue(), untried.size(), approved);
        step.queriedWorkers.addAll(queried);
        long untilMs = nowMs + advice.validMs() - PoolTiming.TICKET_MARGIN_MS;
        for (String id : queried) {
            WorkerState worker = workers.get(id);
            String ticket = advice.tickets().get(id);
            if (worker != null && ticket != null) {
                step.tickets.put(id, new Ticket(ticket, untilMs, worker.bootWallMs));
            }
        }
    }
}
