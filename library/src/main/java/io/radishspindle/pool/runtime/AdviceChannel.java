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
 * Calls of one VM to the advice service. The service handles one call at a time per VM, so a second call is rejected at
 * once and its owner retries through another VM. Confined to one event loop.
 *
 * <p>Invariant: at most one call of this VM to the service is in flight. After a call that may have reached the service
 * but got no answer, the channel stays busy for as long as the service was expected to handle it.
 */
final class AdviceChannel {
    /** Added to the expected duration of a call to get its timeout, in milliseconds. */
    private static final long TIMEOUT_SLACK_MS = 700;
    /** Minimum retry delay reported while the channel is busy, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MS = 5;

    private final Clock clock;
    private final AdviceService service;
    private boolean inFlight;
    /** Until when the service may handle a call that was given up. */
    private long occupiedUntilMs = Long.MIN_VALUE;
    /** Expected end of the last call. */
    private long expectedEndMs;

    AdviceChannel(Clock clock, AdviceService service) {
        this.clock = clock;
        this.service = service;
    }

    /** Timeout of a call, in milliseconds. */
    static long timeoutMs(long expectedMs) {
        return expectedMs + TIMEOUT_SLACK_MS;
    }

    /** Calls the service; fails with {@link ErrorCode#OVERLOADED} and a retry delay while another call is in flight. */
    Future<Either<Failure, Advice>> advise(String step, List<String> workers, long expectedMs) {
        long nowMs = clock.nowMs();
        if (inFlight || nowMs < occupiedUntilMs) {
            long waitMs = Math.max(MIN_RETRY_AFTER_MS, expectedEndMs - nowMs);
            return Future.succeededFuture(Either.left(Failure.retryable(
                    ErrorCode.OVERLOADED,
                    "advice.call",
                    "",
                    "another call to the advice service is in flight",
                    waitMs)));
        }
        inFlight = true;
        expectedEndMs = nowMs + expectedMs;
        return service.advise(step, workers, timeoutMs(expectedMs)).onSuccess(result -> {
            inFlight = false;
            if (result.isLeft() && !result.getLeft().notRun()) {
                occupiedUntilMs = expectedEndMs;
            }
        });
    }
}
