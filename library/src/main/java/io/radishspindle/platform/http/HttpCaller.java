package io.radishspindle.platform.http;

import io.vavr.control.Either;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Sends HTTP/1.1 requests over pooled keep-alive connections and tells exactly whether a failed request may have
 * reached the peer. Thread-safe.
 *
 * <p>Invariants: the returned futures never fail. A connection carries one request at a time. A connection whose
 * request is given up is closed, so that a late answer can't reach another request. Nothing is retried.
 */
public final class HttpCaller {
    private static final int CONNECT_TIMEOUT_MS = 2_000;

    /** Shorter than the idle timeout of common servers, so that a request rarely meets a connection being closed. */
    private static final int KEEP_ALIVE_S = 10;

    private static final int MAX_HEADER_BYTES = 32 * 1024;

    /** A complete answer. */
    public record Reply(int status, MultiMap headers, Buffer body) {}

    /**
     * An exchange without a complete answer.
     *
     * @param sent whether a byte of the request may have been sent
     * @param timedOut whether the peer was silent, rather than that the connection was closed or refused
     */
    public record Broken(boolean sent, boolean timedOut, String reason) {}

    private final Vertx vertx;
    private final HttpClient client;
    private final int maxBodyBytes;

    /** Creates a caller; nothing is connected yet. */
    public HttpCaller(Vertx vertx, int connectionsPerPeer, int maxBodyBytes) {
        HttpClientOptions options = new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MS)
                .setKeepAlive(true)
                .setKeepAliveTimeout(KEEP_ALIVE_S)
                .setPipelining(false)
                .setMaxHeaderSize(MAX_HEADER_BYTES);
        this.vertx = vertx;
        this.client = vertx.httpClientBuilder()
                .with(options)
                .with(new PoolOptions().setHttp1MaxSize(connectionsPerPeer))
                // A request learns of its failure by itself; an idle connection that breaks concerns no request.
                .withConnectHandler(connection -> connection.exceptionHandler(
                        e -> Logger.debug("event=connection-lost error=\"{}\"", describe(e))))
                .build();
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Sends a request; {@code timeoutMs} covers everything up to the last byte of the answer. */
    public Future<Either<Broken, Reply>> call(RequestOptions options, @Nullable Buffer body, long timeoutMs) {
        Exchange exchange = new Exchange(body);
        Context context = Vertx.currentContext();
        if (context == null) {
            vertx.getOrCreateContext().runOnContext(v -> exchange.start(options, timeoutMs));
        } else {
            exchange.start(options, timeoutMs);
        }
        return exchange.result.future();
    }

    /** One request and its answer; belongs to the context on which it starts. */
    private final class Exchange {
        private final Promise<Either<Broken, Reply>> result = Promise.promise();
        private final Buffer received = Buffer.buffer();
        private final @Nullable Buffer body;
        private @Nullable HttpClientRequest request;
        private boolean sent;
        private boolean done;
        private long timerId;

        Exchange(@Nullable Buffer body) {
            this.body = body;
        }

        void start(RequestOptions options, long timeoutMs) {
            timerId = vertx.setTimer(
                    Math.max(1, timeoutMs), id -> abort(true, "no complete answer in " + timeoutMs + " ms"));
            client.request(options).onComplete(this::onConnected);
        }

        private void onConnected(AsyncResult<HttpClientRequest> connected) {
            if (connected.failed()) {
                finish(Either.left(new Broken(false, false, describe(connected.cause()))));
                return;
            }
            request = connected.result();
            if (done) {
                request.reset();
                return;
            }
            sent = true;
            request.exceptionHandler(
                    e -> finish(Either.left(new Broken(true, false, "connection broken: " + describe(e)))));
            Future<HttpClientResponse> response = body == null ? request.send() : request.send(body);
            response.onComplete(this::onResponse);
        }

        private void onResponse(AsyncResult<HttpClientResponse> answered) {
            if (answered.failed()) {
                finish(Either.left(new Broken(true, false, describe(answered.cause()))));
                return;
            }
            HttpClientResponse response = answered.result();
            response.exceptionHandler(e -> abort(false, "answer ended early: " + describe(e)));
            response.handler(this::append);
            response.endHandler(v -> finish(Either.right(reply(response))));
        }

        private void append(Buffer chunk) {
            if (done) {
                return;
            }
            if (received.length() + chunk.length() > maxBodyBytes) {
                abort(false, "answer exceeds " + maxBodyBytes + " bytes");
                return;
            }
            received.appendBuffer(chunk);
        }

        private Reply reply(HttpClientResponse response) {
            MultiMap headers = HttpHeaders.headers().addAll(response.headers());
            return new Reply(response.statusCode(), headers, received);
        }

        private void abort(boolean timedOut, String reason) {
            finish(Either.left(new Broken(sent, timedOut, reason)));
            if (request != null) {
                request.reset();
            }
        }

        private void finish(Either<Broken, Reply> outcome) {
            if (done) {
                return;
            }
            done = true;
            vertx.cancelTimer(timerId);
            result.complete(outcome);
        }
    }

    private static String describe(Throwable cause) {
        String message = cause.getMessage();
        return message == null ? cause.getClass().getSimpleName() : message;
    }
}
