package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The validated head of a caller's request. Immutable and thread-safe.
 *
 * @param path path and query for the executor, starting with a slash
 * @param idempotencyKey empty for a request that is idempotent by its method, and for one without a key
 */
record CallerRequest(
        String service,
        String caller,
        RequestClass requestClass,
        String method,
        String path,
        List<Map.Entry<String, String>> headers,
        boolean idempotent,
        Optional<String> idempotencyKey,
        long acceptedAtMs,
        long deadlineAtMs) {

    /** Caller of requests without the header {@code Caller}. */
    static final String ANONYMOUS = "anonymous";

    private static final String STEP = "routing.parse";
    private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");
    private static final Set<String> NON_IDEMPOTENT_METHODS = Set.of("POST", "PATCH");
    private static final int MAX_NAME_LENGTH = 200;
    private static final int MAX_HEADERS = 100;
    private static final int MAX_HEADER_BYTES = 32 * 1024;

    static boolean isIdempotent(String method) {
        return IDEMPOTENT_METHODS.contains(method);
    }

    /** Checks the head of a request; a failure means that the request is refused, not run. */
    static Either<Failure, CallerRequest> parse(
            HttpServerRequest request, String service, EntrySettings.Routing settings, long nowMs) {
        MultiMap headers = request.headers();
        String method = request.method().name();
        if (!IDEMPOTENT_METHODS.contains(method) && !NON_IDEMPOTENT_METHODS.contains(method)) {
            return invalid("method " + method + " is not supported");
        }
        Optional<String> headerSizeError = headerSizeError(headers);
        if (headerSizeError.isPresent()) {
            return invalid(headerSizeError.get());
        }
        String caller = Optional.ofNullable(headers.get("Caller")).orElse(ANONYMOUS);
        String key = headers.get("Idempotency-Key");
        if (isInvalidName(caller) || (key != null && isInvalidName(key))) {
            return invalid("Caller and Idempotency-Key need 1 to " + MAX_NAME_LENGTH + " characters");
        }
        Optional<RequestClass> requestClass = requestClass(headers.get("Request-Class"));
        if (requestClass.isEmpty()) {
            return invalid("Request-Class must be interactive, normal or bulk");
        }
        Optional<Long> deadlineMs = deadlineMs(headers.get("Deadline-Ms"), settings);
        if (deadlineMs.isEmpty()) {
            return invalid("Deadline-Ms must be a whole number from 1 to " + settings.maxDeadlineMs());
        }
        boolean idempotent = isIdempotent(method);
        return Either.right(new CallerRequest(
                service,
                caller,
                requestClass.get(),
                method,
                executorPath(request.uri(), request.path()),
                EndToEndHeaders.ofRequest(headers),
                idempotent,
                idempotent ? Optional.empty() : Optional.ofNullable(key),
                nowMs,
                nowMs + deadlineMs.get()));
    }

    /** Removes {@code /services/<service>}; the rest is passed on as the caller wrote it. */
    private static String executorPath(String uri, String path) {
        int start = path.startsWith("/services/") ? path.indexOf('/', "/services/".length()) : -1;
        if (start < 0) {
            return "/" + uri.substring(Math.min(uri.length(), path.length()));
        }
        int pathInUri = uri.indexOf(path);
        return pathInUri < 0 ? path.substring(start) : uri.substring(pathInUri + start);
    }

    private static Optional<String> headerSizeError(MultiMap headers) {
        int bytes = 0;
        for (Map.Entry<String, String> header : headers) {
            bytes += header.getKey().length() + header.getValue().length();
        }
        if (headers.size() > MAX_HEADERS || bytes > MAX_HEADER_BYTES) {
            return Optional.of("at most " + MAX_HEADERS + " headers with " + MAX_HEADER_BYTES + " bytes are accepted");
        }
        return Optional.empty();
    }

    private static boolean isInvalidName(String name) {
        return name.isBlank() || name.length() > MAX_NAME_LENGTH;
    }

    private static Optional<RequestClass> requestClass(@Nullable String header) {
        return header == null ? Optional.of(RequestClass.NORMAL) : RequestClass.parse(header);
    }

    private static Optional<Long> deadlineMs(@Nullable String header, EntrySettings.Routing settings) {
        if (header == null) {
            return Optional.of(settings.defaultDeadlineMs());
        }
        try {
            long value = Long.parseLong(header.strip());
            boolean inRange = value >= 1 && value <= settings.maxDeadlineMs();
            return inRange ? Optional.of(value) : Optional.empty();
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private static Either<Failure, CallerRequest> invalid(String message) {
        return Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, message));
    }
}
