package io.radishspindle.platform.http;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The platform's store over HTTP/1.1. Thread-safe.
 *
 * <p>A read that fails had no effect and is retryable. A write whose answer is lost yields {@code OUTCOME_UNKNOWN}.
 * Watches use their own connections, so that they never delay reads and writes.
 */
public final class HttpStore implements Store {
    private static final int CONNECTIONS = 16;
    private static final int WATCH_CONNECTIONS = 16;
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final long RETRY_AFTER_MS = 500;

    private final String host;
    private final int port;
    private final String peer;
    private final long timeoutMs;
    private final HttpCaller caller;
    private final HttpCaller watcher;

    /**
     * Creates an adapter; nothing is connected yet.
     *
     * @param timeoutMs limit of one call; a watch may last this much longer than its own waiting time
     */
    public HttpStore(Vertx vertx, String host, int port, long timeoutMs) {
        this.host = host;
        this.port = port;
        this.peer = "store " + host + ":" + port;
        this.timeoutMs = timeoutMs;
        this.caller = new HttpCaller(vertx, CONNECTIONS, MAX_ANSWER_BYTES);
        this.watcher = new HttpCaller(vertx, WATCH_CONNECTIONS, MAX_ANSWER_BYTES);
    }

    @Override
    public Future<Either<Failure, Entry>> get(String key) {
        return read(caller, "store.get", "/v1/keys/" + Wire.encodePath(key), timeoutMs)
                .map(reply -> reply.flatMap(r -> toEntry(key, r)));
    }

    @Override
    public Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion) {
        return write("store.put", HttpMethod.PUT, key, expectedVersion, Buffer.buffer(value));
    }

    @Override
    public Future<Either<Failure, Long>> delete(String key, long expectedVersion) {
        return write("store.delete", HttpMethod.DELETE, key, expectedVersion, null);
    }

    @Override
    public Future<Either<Failure, List<Entry>>> list(String prefix) {
        return read(caller, "store.list", "/v1/list?prefix=" + Wire.encode(prefix), timeoutMs)
                .map(reply -> reply.flatMap(r -> toChanges("store.list", r)).map(Changes::entries));
    }

    @Override
    public Future<Either<Failure, Changes>> watch(String prefix, long afterRevision, long waitMs) {
        String uri = "/v1/watch?prefix=" + Wire.encode(prefix) + "&after=" + afterRevision + "&waitMs="
                + Math.max(0, waitMs);
        return read(watcher, "store.watch", uri, timeoutMs + Math.max(0, waitMs))
                .map(reply -> reply.flatMap(r -> toChanges("store.watch", r)));
    }

    private Future<Either<Failure, HttpCaller.Reply>> read(HttpCaller via, String step, String uri, long limitMs) {
        return via.call(options(HttpMethod.GET, uri), null, limitMs)
                .map(outcome -> outcome.mapLeft(broken -> unavailable(step, broken.reason()))
                        .flatMap(reply -> checkRead(step, reply)));
    }

    private Either<Failure, HttpCaller.Reply> checkRead(String step, HttpCaller.Reply reply) {
        if (reply.status() == 200 || reply.status() == 404) {
            return Either.right(reply);
        }
        if (reply.status() >= 500) {
            return Either.left(unavailable(step, "status " + reply.status()));
        }
        return Either.left(refused(step, reply));
    }

    private Future<Either<Failure, Long>> write(
            String step, HttpMethod method, String key, long expectedVersion, @Nullable Buffer value) {
        String uri = "/v1/keys/" + Wire.encodePath(key) + "?expect=" + expectedVersion;
        return caller.call(options(method, uri), value, timeoutMs)
                .map(outcome -> outcome.mapLeft(broken -> brokenWrite(step, broken))
                        .flatMap(reply -> toVersion(step, key, reply)));
    }

    private Failure brokenWrite(String step, HttpCaller.Broken broken) {
        return broken.sent() ? Failure.outcomeUnknown(step, peer, broken.reason()) : unavailable(step, broken.reason());
    }

    private Either<Failure, Long> toVersion(String step, String key, HttpCaller.Reply reply) {
        int status = reply.status();
        if (status == 200) {
            return Wire.fromJson(reply.body(), Wire.Written.class, step, peer).map(Wire.Written::version);
        }
        if (status == 409) {
            return Either.left(new Failure(ErrorCode.CONFLICT, step, peer, "another version of " + key, true, 0));
        }
        if (status >= 500 && isTrue(reply.headers(), Wire.NOT_RUN)) {
            return Either.left(unavailable(step, "status " + status));
        }
        if (status >= 500) {
            return Either.left(Failure.outcomeUnknown(step, peer, "status " + status));
        }
        return Either.left(refused(step, reply));
    }

    private Either<Failure, Entry> toEntry(String key, HttpCaller.Reply reply) {
        try {
            long revision = Long.parseLong(String.valueOf(reply.headers().get(Wire.REVISION)));
            if (reply.status() == 404) {
                return Either.right(new Entry(key, new byte[0], ABSENT, revision));
            }
            long version = Long.parseLong(String.valueOf(reply.headers().get(Wire.VERSION)));
            return Either.right(new Entry(key, reply.body().getBytes(), version, revision));
        } catch (NumberFormatException e) {
            String message = "answer without version or revision: " + e.getMessage();
            return Either.left(new Failure(ErrorCode.PROTOCOL_ERROR, "store.get", peer, message, true, 0));
        }
    }

    private Either<Failure, Changes> toChanges(String step, HttpCaller.Reply reply) {
        return Wire.fromJson(reply.body(), Wire.Items.class, step, peer).map(HttpStore::toChanges);
    }

    private static Changes toChanges(Wire.Items items) {
        List<Entry> entries = new ArrayList<>();
        for (Wire.Item item : items.entries()) {
            entries.add(new Entry(item.key(), item.value(), item.version(), items.revision()));
        }
        return new Changes(List.copyOf(entries), items.revision());
    }

    private Failure refused(String step, HttpCaller.Reply reply) {
        String message = "status " + reply.status() + ": " + reply.body();
        return new Failure(ErrorCode.INVALID_REQUEST, step, peer, message, true, 0);
    }

    private Failure unavailable(String step, String reason) {
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, step, peer, reason, RETRY_AFTER_MS);
    }

    private RequestOptions options(HttpMethod method, String uri) {
        return new RequestOptions()
                .setHost(host)
                .setPort(port)
                .setMethod(method)
                .setURI(uri);
    }

    private static boolean isTrue(MultiMap headers, String name) {
        return "true".equalsIgnoreCase(headers.get(name));
    }
}
