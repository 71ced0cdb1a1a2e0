package io.radishspindle.platform.http;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to executors over HTTP/1.1. Thread-safe.
 *
 * <p>A failure has {@code notRun} true only if no byte of the request was sent. Headers that concern one connection
 * are not passed on in either direction.
 */
public final class HttpExecutorClient implements ExecutorClient {
    /** Connections that an executor allows in all; the slots of a VM keep its share of them lower. */
    private static final int CONNECTIONS = 64;

    private static final int MAX_PROBE_BYTES = 64 * 1024;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;

    private final int maxBodyBytes;
    private final HttpCaller caller;
    private final HttpCaller prober;

    /**
     * Creates an adapter; nothing is connected yet.
     *
     * @param maxBodyBytes limit of a request's and of a response's body
     */
    public HttpExecutorClient(Vertx vertx, int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
        this.caller = new HttpCaller(vertx, CONNECTIONS, Math.min(maxBodyBytes, MAX_ANSWER_BYTES));
        this.prober = new HttpCaller(vertx, 1, MAX_PROBE_BYTES);
    }

    @Override
    public Future<Either<Failure, ServiceResponse>> send(
            String host, int port, ServiceRequest request, long timeoutMs) {
        String step = "executor.send";
        String peer = "executor " + host + ":" + port;
        if (!isValidPath(request.path()) || request.body().length() > maxBodyBytes) {
            String message = "path must be visible characters after a slash, body at most " + maxBodyBytes + " bytes";
            return Future.succeededFuture(Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, step, message)));
        }
        RequestOptions options;
        try {
            options = options(host, port, request);
        } catch (IllegalArgumentException e) {
            String message = "invalid method or header: " + e.getMessage();
            return Future.succeededFuture(Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, step, message)));
        }
        return caller.call(options, bodyOf(request), timeoutMs)
                .map(outcome -> outcome.mapLeft(broken -> toFailure(step, peer, broken))
                        .map(reply -> toResponse(request.method(), reply)));
    }

    @Override
    public Future<Either<Failure, Health>> probe(String host, int port, long timeoutMs) {
        String step = "executor.probe";
        String peer = "executor " + host + ":" + port;
        RequestOptions options = new RequestOptions()
                .setHost(host)
                .setPort(port)
                .setMethod(HttpMethod.GET)
                .setURI("/health");
        return prober.call(options, null, timeoutMs)
                .map(outcome -> outcome.mapLeft(broken -> unreachable(step, peer, broken.reason()))
                        .flatMap(reply -> toHealth(step, peer, reply)));
    }

    private static RequestOptions options(String host, int port, ServiceRequest request) {
        MultiMap headers = HttpHeaders.headers();
        request.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        ConnectionHeaders.remove(headers);
        headers.remove(HttpHeaders.HOST);
        headers.remove(HttpHeaders.EXPECT);
        headers.remove(HttpHeaders.CONTENT_LENGTH);
        return new RequestOptions()
                .setHost(host)
                .setPort(port)
                .setMethod(HttpMethod.valueOf(request.method()))
                .setURI(request.path())
                .setHeaders(headers);
    }

    /** A body of length 0 is sent without a Content-Length where the method does not define a body. */
    private static @Nullable Buffer bodyOf(ServiceRequest request) {
        boolean expectsBody =
                switch (request.method()) {
                    case "POST", "PUT", "PATCH" -> true;
                    default -> false;
                };
        return expectsBody || request.body().length() > 0 ? request.body() : null;
    }

    private static ServiceResponse toResponse(String method, HttpCaller.Reply reply) {
        MultiMap headers = reply.headers();
        boolean busy = reply.status() == 503 && isTrue(headers, Wire.NOT_RUN);
        boolean leaving = isTrue(headers, Wire.LEAVING);
        ConnectionHeaders.remove(headers);
        if (!method.equals("HEAD")) {
            headers.remove(HttpHeaders.CONTENT_LENGTH);
        }
        return new ServiceResponse(reply.status(), headers, reply.body(), busy, leaving);
    }

    private static Either<Failure, Health> toHealth(String step, String peer, HttpCaller.Reply reply) {
        if (isTrue(reply.headers(), Wire.LEAVING)) {
            return Either.right(Health.LEAVING);
        }
        Either<Failure, Wire.HealthState> state = Wire.fromJson(reply.body(), Wire.HealthState.class, step, peer);
        if (state.exists(s -> s.state().equalsIgnoreCase("leaving"))) {
            return Either.right(Health.LEAVING);
        }
        if (reply.status() == 200) {
            return Either.right(Health.LIVE);
        }
        return Either.left(unreachable(step, peer, "status " + reply.status()));
    }

    private static Failure toFailure(String step, String peer, HttpCaller.Broken broken) {
        return broken.sent()
                ? Failure.outcomeUnknown(step, peer, broken.reason())
                : unreachable(step, peer, broken.reason());
    }

    private static Failure unreachable(String step, String peer, String reason) {
        return Failure.retryable(ErrorCode.PEER_UNREACHABLE, step, peer, reason, RETRY_AFTER_MS);
    }

    private static boolean isValidPath(String path) {
        return path.startsWith("/") && path.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    private static boolean isTrue(MultiMap headers, String name) {
        return "true".equalsIgnoreCase(headers.get(name));
    }
}
