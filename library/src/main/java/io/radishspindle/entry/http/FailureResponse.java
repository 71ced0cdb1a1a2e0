package io.radishspindle.entry.http;

import io.radishspindle.error.Failure;
import io.vertx.core.Future;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

/**
 * Writes a {@link Failure} as the answer to an HTTP request: JSON {@code {code, message, step, peer, notRun,
 * retryAfterMs}} and {@code Retry-After} in whole seconds, rounded up. Stateless and thread-safe.
 */
public final class FailureResponse {
    private static final long MS_PER_SECOND = 1_000;

    private FailureResponse() {}

    /** Writes the failure with the status that belongs to its code; does nothing if an answer has already begun. */
    public static Future<Void> write(HttpServerResponse response, Failure failure) {
        return write(response, statusOf(failure), failure);
    }

    /** Writes the failure with another status, for example 413. */
    public static Future<Void> write(HttpServerResponse response, int status, Failure failure) {
        if (response.ended() || response.closed() || response.headWritten()) {
            return Future.succeededFuture();
        }
        response.setStatusCode(status);
        response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
        if (failure.retryAfterMs() > 0) {
            response.putHeader("Retry-After", Long.toString(retryAfterSeconds(failure.retryAfterMs())));
        }
        return response.end(toJson(failure).toBuffer());
    }

    /** Status of a failure: 4xx if the request is at fault, 503 if it did not run, otherwise 500, 502 or 504. */
    public static int statusOf(Failure failure) {
        return switch (failure.code()) {
            case INVALID_REQUEST -> 400;
            case FORBIDDEN -> 403;
            case NOT_FOUND -> 404;
            case CONFLICT -> 409;
            case NEVER_FITS -> 422;
            case QUOTA_EXCEEDED -> 429;
            case OVERLOADED, STORE_UNAVAILABLE, NO_OWNER, PEER_UNREACHABLE, PEER_REFUSED, SHUTTING_DOWN, NOT_READY ->
                failure.notRun() ? 503 : 502;
            case DEADLINE_EXCEEDED -> failure.notRun() ? 503 : 504;
            case OUTCOME_UNKNOWN, PROTOCOL_ERROR -> 502;
            case INTERNAL -> 500;
        };
    }

    /** The failure as shown to callers and operators. */
    public static JsonObject toJson(Failure failure) {
        return new JsonObject()
                .put("code", failure.code().name())
                .put("message", failure.message())
                .put("step", failure.step())
                .put("peer", failure.peer())
                .put("notRun", failure.notRun())
                .put("retryAfterMs", failure.retryAfterMs());
    }

    private static long retryAfterSeconds(long retryAfterMs) {
        return (retryAfterMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
    }
}
