package io.radishspindle.routing;

import io.radishspindle.entry.http.FailureResponse;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.ingress.BodyReader;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Writes the final answer to a caller, on the event loop of its connection. Thread-safe.
 *
 * <p>Invariant: a caller that reads too slowly sees a closed connection, never a truncated answer that looks complete.
 */
final class CallerResponder implements Responder {
    /** How long a caller may take to read its answer before its connection is closed, in milliseconds. */
    private static final long WRITE_TIMEOUT_MS = 30_000;

    private static final int PAYLOAD_TOO_LARGE = 413;

    private final Vertx vertx;
    private final Context context;
    private final HttpServerRequest request;

    /** Must be created on the event loop of the request. */
    CallerResponder(Vertx vertx, HttpServerRequest request) {
        this.vertx = vertx;
        this.request = request;
        context = vertx.getOrCreateContext();
    }

    @Override
    public Future<Void> answer(ServiceResponse response) {
        List<Map.Entry<String, String>> headers = EndToEndHeaders.ofResponse(response.headers());
        return onContext(() -> write(response, headers));
    }

    @Override
    public Future<Void> fail(Failure failure) {
        return onContext(() -> writeFailure(failure));
    }

    @Override
    public boolean isDisconnected() {
        return request.response().closed();
    }

    private Future<Void> onContext(Supplier<Future<Void>> write) {
        Promise<Void> done = Promise.promise();
        // compose turns an exception into a failed future, so that a drain never waits for an answer that can't be
        // written.
        context.runOnContext(v -> Future.<Void>succeededFuture()
                .compose(ignored -> write.get())
                .onComplete(written -> done.tryComplete()));
        return done.future();
    }

    private Future<Void> write(ServiceResponse answer, List<Map.Entry<String, String>> headers) {
        HttpServerResponse response = request.response();
        if (response.closed() || response.ended()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(answer.status());
        headers.forEach(header -> response.headers().add(header.getKey(), header.getValue()));
        String length = answer.headers().get(HttpHeaders.CONTENT_LENGTH);
        boolean head = request.method().equals(HttpMethod.HEAD);
        if (head && length != null) {
            response.putHeader(HttpHeaders.CONTENT_LENGTH, length);
        }
        return limitTime(head ? response.end() : response.end(answer.body()));
    }

    private Future<Void> writeFailure(Failure failure) {
        HttpServerResponse response = request.response();
        boolean unread = BodyReader.leavesBodyUnread(failure);
        boolean closeConnection = unread || failure.code() == ErrorCode.SHUTTING_DOWN;
        if (closeConnection && !response.closed() && !response.headWritten()) {
            response.putHeader("Connection", "close");
        }
        Future<Void> written = BodyReader.isTooLarge(failure)
                ? FailureResponse.write(response, PAYLOAD_TOO_LARGE, failure)
                : FailureResponse.write(response, failure);
        limitTime(written);
        return written;
    }

    private Future<Void> limitTime(Future<Void> written) {
        if (written.isComplete()) {
            return written;
        }
        long timer = vertx.setTimer(WRITE_TIMEOUT_MS, id -> request.connection().close());
        return written.onComplete(done -> vertx.cancelTimer(timer));
    }
}
