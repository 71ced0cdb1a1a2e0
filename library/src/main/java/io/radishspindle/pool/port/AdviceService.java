package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** Client of the external service that approves workers for a step. Belongs to one event loop; futures never fail. */
public interface AdviceService {
    /** Highest number of workers in one call. */
    int MAX_WORKERS = 100;

    /** Tickets by worker id, valid for {@code validMs} milliseconds; workers without a ticket were rejected. */
    record Advice(Map<String, String> tickets, long validMs) {}

    /** Requests tickets for one step, identified as {@code job.occurrence.step}. */
    Future<Either<Failure, Advice>> advise(String step, List<String> workers, long timeoutMs);
}
