package io.radishspindle.platform.http;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * The control interface of workers over HTTP/1.1. Thread-safe.
 *
 * <p>Each worker has one connection, so that messages reach it in the order of sending and none is refused for its
 * sequence number. A message waits for the answer to the previous one; the waiting counts towards its timeout.
 */
public final class HttpWorkerClient implements WorkerClient {
    private static final String STEP = "worker.control";
    private static final int CONNECTIONS = 1;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;

    private final HttpCaller caller;

    /** Creates an adapter; nothing is connected yet. */
    public HttpWorkerClient(Vertx vertx) {
        this.caller = new HttpCaller(vertx, CONNECTIONS, MAX_ANSWER_BYTES);
    }

    @Override
    public Future<Either<Failure, ControlReply>> control(WorkerInfo worker, ControlRequest request, long timeoutMs) {
        RequestOptions options = new RequestOptions()
                .setHost(worker.host())
                .setPort(worker.port())
                .setMethod(HttpMethod.POST)
                .setURI("/v1/control")
                .putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        String peer = "worker " + worker.id() + " " + worker.host() + ":" + worker.port();
        return caller.call(options, Wire.toJson(request), timeoutMs)
                .map(outcome ->
                        outcome.mapLeft(broken -> toFailure(peer, broken)).flatMap(reply -> toReply(peer, reply)));
    }

    private static Failure toFailure(String peer, HttpCaller.Broken broken) {
        return broken.sent()
                ? Failure.outcomeUnknown(STEP, peer, broken.reason())
                : Failure.retryable(ErrorCode.PEER_UNREACHABLE, STEP, peer, broken.reason(), RETRY_AFTER_MS);
    }

    private static Either<Failure, ControlReply> toReply(String peer, HttpCaller.Reply reply) {
        if (reply.status() == 200) {
            return Wire.fromJson(reply.body(), ControlReply.class, STEP, peer);
        }
        String message = "status " + reply.status();
        if ("true".equalsIgnoreCase(reply.headers().get(Wire.NOT_RUN))) {
            return Either.left(Failure.retryable(ErrorCode.PEER_REFUSED, STEP, peer, message, RETRY_AFTER_MS));
        }
        return Either.left(Failure.outcomeUnknown(STEP, peer, message));
    }
}
