package io.radishspindle.ingress;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import org.jspecify.annotations.Nullable;

/**
 * Reads bodies of callers' requests within their maximum, until their deadline, and only while the memory that callers
 * may occupy allows it. Stateless but for its collaborators; each request is read on its own event loop.
 */
public final class BodyReader {
    /** Delay after which a caller whose body did not fit may retry, in milliseconds. */
    private static final long RETRY_AFTER_MS = 1_000;

    private static final String STEP = "routing.body";
    private static final String TOO_LARGE = "the body is larger than ";

    private final Vertx vertx;
    private final Clock clock;

    public BodyReader(Vertx vertx, Clock clock) {
        this.vertx = vertx;
        this.clock = clock;
    }

    /**
     * Reads the body of a request, which may be paused; the future never fails. A failure means that the request is
     * refused, not run.
     */
    public Future<Either<Failure, Buffer>> read(HttpServerRequest request, long maxBytes, long deadlineMs) {
        Reading reading = new Reading(request, maxBytes);
        if (contentLength(request) > maxBytes) {
            reading.refuse(IngressLimit.BODY_SIZE, tooLarge(maxBytes));
        } else {
            reading.start(deadlineMs);
        }
        request.resume();
        return reading.result.future();
    }

    /** True if the failure means that the rest of the body is unread, so that the connection can't be used again. */
    public static boolean leavesBodyUnread(Failure failure) {
        return failure.step().equals(STEP);
    }

    /** True if the failure means that the body exceeds its maximum. */
    public static boolean isTooLarge(Failure failure) {
        return leavesBodyUnread(failure) && failure.message().startsWith(TOO_LARGE);
    }

    private static long contentLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static Failure tooLarge(long maxBytes) {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, TOO_LARGE + maxBytes + " bytes");
    }

    private static Failure tooSlow() {
        return Failure.rejected(ErrorCode.DEADLINE_EXCEEDED, STEP, "the deadline passed before the body was received");
    }

    private static Failure endedEarly(Throwable cause) {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, "the body ended early: " + cause.getMessage());
    }

    private static Failure memoryFull() {
        return Failure.retryable(
                ErrorCode.OVERLOADED, STEP, "", "too many requests are being received", RETRY_AFTER_MS);
    }

    /**
     * A body that is being received. Confined to the event loop of its request.
     *
     * <p>Invariant: a refused body is not kept.
     */
    private final class Reading {
        private final HttpServerRequest request;
        private final long maxBytes;
        private final Promise<Either<Failure, Buffer>> result = Promise.promise();
        private @Nullable Buffer body = Buffer.buffer();
        private long timer = -1;

        Reading(HttpServerRequest request, long maxBytes) {
            this.request = request;
            this.maxBytes = maxBytes;
        }

        void start(long deadlineMs) {
            long delayMs = Math.max(1, deadlineMs - clock.nowMs());
            timer = vertx.setTimer(delayMs, ignored -> refuse(IngressLimit.BODY_TIME, tooSlow()));
            request.handler(this::append);
            request.endHandler(ignored -> complete(Either.right(body == null ? Buffer.buffer() : body)));
            request.exceptionHandler(e -> complete(Either.left(endedEarly(e))));
            Ingress.onGiveWay(request, () -> complete(Either.left(memoryFull())));
        }

        private void append(Buffer chunk) {
            Buffer received = body;
            if (received == null) {
                return;
            }
            if (received.length() + chunk.length() > maxBytes) {
                refuse(IngressLimit.BODY_SIZE, tooLarge(maxBytes));
            } else {
                received.appendBuffer(chunk);
            }
        }

        void refuse(IngressLimit limit, Failure failure) {
            if (body != null) {
                Ingress.connectionOf(request).ifPresent(connection -> connection.refusedFor(limit));
                complete(Either.left(failure));
            }
        }

        private void complete(Either<Failure, Buffer> outcome) {
            if (body != null) {
                body = null;
                vertx.cancelTimer(timer);
                result.complete(outcome);
            }
        }
    }
}
