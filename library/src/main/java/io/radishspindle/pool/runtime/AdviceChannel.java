package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;

/**
 * The calls for advice of one VM. The service handles one call at a time for each VM, so that an owner whose call would
 * wait here is told so at once and asks through another VM. Belongs to one event loop.
 *
 * <p>Invariant: at most one call of this VM is at the service.
 */
final class AdviceChannel {
    /** Added to the expected duration before a call counts as failed, in milliseconds. */
    private static final long TIMEOUT_SLACK_MS = 700;
    /** Least time after which a busy channel is asked again, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MS = 5;

    private final Clock clock;
    private final AdviceService service;
    private boolean busy;
    private long freeAtMs;

    AdviceChannel(Clock clock, AdviceService service) {
        this.clock = clock;
        this.service = service;
    }

    /** Limit of a call in milliseconds. */
    static long timeoutMs(long expectedMs) {
        return expectedMs + TIMEOUT_SLACK_MS;
    }

    /** Asks the service; {@link ErrorCode#OVERLOADED} with the time to wait while another call is there. */
    Future<Either<Failure, Advice>> advise(String step, List<String> workers, long expectedMs) {
        long nowMs = clock.nowMs();
        if (busy) {
            long waitMs = Math.max(MIN_RETRY_AFTER_MS, freeAtMs - nowMs);
            return Future.succeededFuture(Either.left(Failure.retryable(
                    ErrorCode.OVERLOADED, "advice.call", "", "another call for advice is in progress", waitMs)));
        }
        busy = true;
        freeAtMs = nowMs + expectedMs;
        return service.advise(step, workers, timeoutMs(expectedMs)).onComplete(ignored -> busy = false);
    }
}
