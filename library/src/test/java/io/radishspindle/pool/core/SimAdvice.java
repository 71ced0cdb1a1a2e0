package io.radishspindle.pool.core;

import io.radishspindle.pool.port.AdviceService.Advice;
import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;

/** Simulates the advice service: approves a fixed set of workers for each step. Not thread-safe. */
final class SimAdvice {
    /** Share of the workers that are approved for a step. */
    double approval = 1;

    long validityMs = 2_000;
    private final Map<String, Long> ticketEndsMs = new HashMap<>();

    Advice answer(PoolAction.Advise advise, long nowMs) {
        Map<String, String> tickets = new HashMap<>();
        for (String id : advise.workers()) {
            String ticket = advise.step() + "/" + id;
            if (approves(advise.step(), id)) {
                tickets.put(id, ticket);
                ticketEndsMs.put(ticket, nowMs + validityMs);
            }
        }
        return new Advice(tickets, validityMs);
    }

    /** Whether a step may run on a worker. */
    boolean approves(String step, String worker) {
        String ticket = step + "/" + worker;
        return RandomSource.SPLIT_MIX_64.create((long) ticket.hashCode()).nextLong(1_000) < 1_000 * approval;
    }

    boolean isValid(String ticket, long nowMs) {
        return ticketEndsMs.getOrDefault(ticket, 0L) >= nowMs;
    }
}
