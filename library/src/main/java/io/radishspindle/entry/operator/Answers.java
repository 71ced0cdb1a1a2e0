package io.radishspindle.entry.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.entry.http.FailureResponse;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;

/** Writes JSON answers and reads query parameters. Stateless and thread-safe. */
final class Answers {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Answers() {}

    static void json(RoutingContext context, Object body) {
        HttpServerResponse response = context.response();
        if (response.closed()) {
            return;
        }
        try {
            response.putHeader("Content-Type", "application/json").end(MAPPER.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    static void failure(RoutingContext context, Failure failure) {
        FailureResponse.write(context.response(), failure);
    }

    static void invalid(RoutingContext context, String message) {
        failure(context, Failure.rejected(ErrorCode.INVALID_REQUEST, "operator.request", message));
    }

    static Optional<String> parameter(RoutingContext context, String name) {
        return Optional.ofNullable(context.request().getParam(name)).filter(text -> !text.isEmpty());
    }
}
