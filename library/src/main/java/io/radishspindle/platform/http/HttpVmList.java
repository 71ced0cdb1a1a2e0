package io.radishspindle.platform.http;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.VmList;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/** The platform's VM list over HTTP/1.1. Thread-safe. Every failure is retryable, because reading has no effect. */
public final class HttpVmList implements VmList {
    private static final String STEP = "vm-list.fetch";
    private static final int CONNECTIONS = 1;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;

    private final RequestOptions options;
    private final String peer;
    private final long timeoutMs;
    private final HttpCaller caller;

    /** Creates an adapter; nothing is connected yet. */
    public HttpVmList(Vertx vertx, String host, int port, long timeoutMs) {
        this.options = new RequestOptions()
                .setHost(host)
                .setPort(port)
                .setMethod(HttpMethod.GET)
                .setURI("/v1/vms");
        this.peer = "vm-list " + host + ":" + port;
        this.timeoutMs = timeoutMs;
        this.caller = new HttpCaller(vertx, CONNECTIONS, MAX_ANSWER_BYTES);
    }

    @Override
    public Future<Either<Failure, Listing>> fetch() {
        return caller.call(new RequestOptions(options), null, timeoutMs)
                .map(outcome ->
                        outcome.mapLeft(broken -> unavailable(broken.reason())).flatMap(this::toListing));
    }

    private Either<Failure, Listing> toListing(HttpCaller.Reply reply) {
        if (reply.status() != 200) {
            return Either.left(unavailable("status " + reply.status()));
        }
        return Wire.fromJson(reply.body(), Listing.class, STEP, peer);
    }

    private Failure unavailable(String reason) {
        return Failure.retryable(ErrorCode.PEER_UNREACHABLE, STEP, peer, reason, RETRY_AFTER_MS);
    }
}
