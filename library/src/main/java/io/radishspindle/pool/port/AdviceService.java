package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/** The outside service that knows which workers may run a step. Belongs to one event loop; futures never fail. */
public interface AdviceService {
    /** Most workers named in one call. */
    int MAX_WORKERS = 100;

    /** Tickets by worker id; workers that are absent were turned down. */
    record Advice(Map<String, String> tickets, long validMs) {}

    /** Asks for one step, named {@code job.occurrence.step}. */
    Future<Either<Failure, Advice>> advise(String step, List<String> workers, long timeoutMs);
}
