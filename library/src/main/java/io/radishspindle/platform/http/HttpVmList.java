package io.radishspindle.platform.http;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.VmList;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * The platform's VM list over HTTP/1.1. Thread-safe. Every failure is retryable, because reading has no effect.
 *
 * <p>Asks with {@code If-None-Match}, so that an unchanged list is not sent again: with 1,800 workers it has about
 * 400 KiB, and every entry VM reads it every few seconds.
 */
public final class HttpVmList implements VmList {
    private static final String STEP = "vm-list.fetch";
    private static final int CONNECTIONS = 1;
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
    private static final long RETRY_AFTER_MS = 1_000;
    private static final int NOT_MODIFIED = 304;

    private final RequestOptions options;
    private final String peer;
    private final long timeoutMs;
    private final HttpCaller caller;
    private final AtomicReference<@Nullable Tagged> last = new AtomicReference<>();

    private record Tagged(String tag, Listing listing) {}

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
        Tagged known = last.get();
        RequestOptions request = new RequestOptions(options);
        if (known != null) {
            request.putHeader(HttpHeaders.IF_NONE_MATCH, known.tag());
        }
        return caller.call(request, null, timeoutMs)
                .map(outcome -> outcome.mapLeft(broken -> unavailable(broken.reason()))
                        .flatMap(reply -> toListing(known, reply)));
    }

    private Either<Failure, Listing> toListing(@Nullable Tagged known, HttpCaller.Reply reply) {
        if (reply.status() == NOT_MODIFIED && known != null) {
            return Either.right(known.listing());
        }
        if (reply.status() != 200) {
            return Either.left(unavailable("status " + reply.status()));
        }
        Either<Failure, Listing> listing = Wire.fromJson(reply.body(), Listing.class, STEP, peer);
        String tag = reply.headers().get(HttpHeaders.ETAG);
        if (tag != null) {
            listing.peek(fresh -> last.set(new Tagged(tag, fresh)));
        }
        return listing;
    }

    private Failure unavailable(String reason) {
        return Failure.retryable(ErrorCode.PEER_UNREACHABLE, STEP, peer, reason, RETRY_AFTER_MS);
    }
}
