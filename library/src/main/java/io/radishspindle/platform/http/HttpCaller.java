package io.radishspindle.platform.http;

import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
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
 * request is given up is closed, so that a late answer can't reach another request. Nothing is retried. An answer
 * that keeps arriving is given up only at the limit of the whole exchange.
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

    /**
     * Limits of an exchange, in milliseconds.
     *
     * @param firstByteMs up to the first byte of the answer, including the time for a connection
     * @param silenceMs between two parts of the answer; a part never shortens the limit for the first byte
     * @param totalMs up to the last byte of the answer
     */
    public record Limits(long firstByteMs, long silenceMs, long totalMs) {
        /** One limit for everything up to the last byte of the answer. */
        public static Limits total(long totalMs) {
            return new Limits(totalMs, totalMs, totalMs);
        }
    }

    /** Follows an answer that is not complete yet. */
    public interface Progress {
        /** Called on the context of the call after the head of the answer and after each part of its body. */
        void onPart(int status);
    }

    private final Vertx vertx;
    private final Clock clock = new SystemClock();
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
        return call(options, body, Limits.total(timeoutMs), status -> {});
    }

    /** Sends a request whose answer may be large. */
    public Future<Either<Broken, Reply>> call(
            RequestOptions options, @Nullable Buffer body, Limits limits, Progress progress) {
        Exchange exchange = new Exchange(body, limits, progress);
        Context context = Vertx.currentContext();
        if (context == null) {
            vertx.getOrCreateContext().runOnContext(v -> exchange.start(options));
        } else {
            exchange.start(options);
        }
        return exchange.result.future();
    }

    /**
     * One request and its answer; belongs to the context on which it starts.
     *
     * <p>Invariants: until the exchange is done, exactly one timer is set, which expires at one of the deadlines or
     * before. The deadline of the next part only moves forward.
     */
    private final class Exchange {
        private final Promise<Either<Broken, Reply>> result = Promise.promise();
        private final @Nullable Buffer body;
        private final Limits limits;
        private final Progress progress;
        private Buffer received = Buffer.buffer();
        private @Nullable HttpClientRequest request;
        private boolean sent;
        private boolean answered;
        private boolean done;
        private long totalDeadlineMs;
        private long nextPartDeadlineMs;
        private long timerId;

        Exchange(@Nullable Buffer body, Limits limits, Progress progress) {
            this.body = body;
            this.limits = limits;
            this.progress = progress;
        }

        void start(RequestOptions options) {
            long nowMs = clock.nowMs();
            totalDeadlineMs = nowMs + Math.max(1, limits.totalMs());
            nextPartDeadlineMs = nowMs + Math.max(1, limits.firstByteMs());
            setTimer(nowMs);
            client.request(options).onComplete(this::onConnected);
        }

        private void setTimer(long nowMs) {
            long nextMs = Math.min(nextPartDeadlineMs, totalDeadlineMs);
            timerId = vertx.setTimer(Math.max(1, nextMs - nowMs), id -> checkDeadlines());
        }

        private void checkDeadlines() {
            long nowMs = clock.nowMs();
            if (nowMs >= totalDeadlineMs) {
                abort(true, "no complete answer in " + limits.totalMs() + " ms");
            } else if (nowMs < nextPartDeadlineMs) {
                setTimer(nowMs);
            } else if (answered) {
                abort(true, "answer stalled for " + limits.silenceMs() + " ms after " + received.length() + " bytes");
            } else {
                abort(true, "no answer in " + limits.firstByteMs() + " ms");
            }
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

        private void onResponse(AsyncResult<HttpClientResponse> head) {
            if (head.failed()) {
                finish(Either.left(new Broken(true, false, describe(head.cause()))));
                return;
            }
            HttpClientResponse response = head.result();
            response.exceptionHandler(e -> abort(false, "answer ended early: " + describe(e)));
            response.handler(chunk -> append(response.statusCode(), chunk));
            response.endHandler(v -> finish(Either.right(reply(response))));
            if (!done) {
                onPart(response.statusCode());
            }
        }

        private void onPart(int status) {
            answered = true;
            nextPartDeadlineMs = Math.max(nextPartDeadlineMs, clock.nowMs() + limits.silenceMs());
            progress.onPart(status);
        }

        private void append(int status, Buffer chunk) {
            if (done) {
                return;
            }
            if (received.length() + chunk.length() > maxBodyBytes) {
                abort(false, "answer exceeds " + maxBodyBytes + " bytes");
                return;
            }
            received.appendBuffer(chunk);
            onPart(status);
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
            // The handlers of the connection refer to this exchange for as long as the connection is being closed.
            received = Buffer.buffer();
            result.complete(outcome);
        }
    }

    private static String describe(Throwable cause) {
        String message = cause.getMessage();
        return message == null ? cause.getClass().getSimpleName() : message;
    }
}
