package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Reads bodies of callers' requests within a bound and until the deadline. Thread-safe.
 *
 * <p>Invariant: {@code buffered} is the number of bytes of all bodies that are being read.
 */
final class BodyReader {
    static final String STEP = "routing.body";

    private static final String TOO_LARGE = "the body is larger than ";
    /** Limit of the bytes of all bodies that are being read; the whole process of a VM has 256 MB. */
    private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

    private final Vertx vertx;
    private final int maxBodyBytes;
    private final AtomicLong buffered = new AtomicLong();

    BodyReader(Vertx vertx, int maxBodyBytes) {
        this.vertx = vertx;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Reads the body; the future never fails. A failure means that the request is refused, not run. */
    Future<Either<Failure, Buffer>> read(HttpServerRequest request, long timeoutMs) {
        if (contentLength(request) > maxBodyBytes) {
            return Future.succeededFuture(Either.left(tooLarge()));
        }
        Promise<Either<Failure, Buffer>> result = Promise.promise();
        Buffer body = Buffer.buffer();
        long timer = vertx.setTimer(Math.max(1, timeoutMs), id -> result.tryComplete(Either.left(tooSlow())));
        request.handler(chunk -> append(chunk, body, result));
        request.endHandler(end -> result.tryComplete(Either.right(body)));
        request.exceptionHandler(e -> result.tryComplete(Either.left(endedEarly(e))));
        request.resume();
        return result.future().onComplete(done -> {
            vertx.cancelTimer(timer);
            buffered.addAndGet(-body.length());
        });
    }

    /** True if the failure means that the rest of the body is unread, so that the connection can't be used again. */
    static boolean leavesBodyUnread(Failure failure) {
        return failure.step().equals(STEP);
    }

    static boolean isTooLarge(Failure failure) {
        return leavesBodyUnread(failure) && failure.message().startsWith(TOO_LARGE);
    }

    private void append(Buffer chunk, Buffer body, Promise<Either<Failure, Buffer>> result) {
        if (result.future().isComplete()) {
            return;
        }
        if (body.length() + chunk.length() > maxBodyBytes) {
            result.tryComplete(Either.left(tooLarge()));
            return;
        }
        body.appendBuffer(chunk);
        if (buffered.addAndGet(chunk.length()) > MAX_BUFFERED_BYTES) {
            result.tryComplete(Either.left(bufferFull()));
        }
    }

    private static long contentLength(HttpServerRequest request) {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        try {
            return length == null ? 0 : Long.parseLong(length);
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private Failure tooLarge() {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, TOO_LARGE + maxBodyBytes + " bytes");
    }

    private static Failure tooSlow() {
        return Failure.rejected(ErrorCode.DEADLINE_EXCEEDED, STEP, "the deadline passed before the body was received");
    }

    private static Failure endedEarly(Throwable cause) {
        return Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, "the body ended early: " + cause.getMessage());
    }

    private static Failure bufferFull() {
        return Failure.retryable(
                ErrorCode.OVERLOADED, STEP, "", "too many bodies are being received", Refusals.DEFAULT_RETRY_MS);
    }
}
