package io.radishspindle.entry.operator;

import io.radishspindle.config.ConfigChange;
import io.radishspindle.config.FleetException.Scope;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Arrays;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Reads changes from request bodies. Stateless and thread-safe. */
final class ChangeRequest {
    private ChangeRequest() {}

    /** Body {@code {basedOn, actor, reason, key, value}}. */
    static Either<Failure, ConfigChange> setDefault(@Nullable Buffer body) {
        return read(
                body,
                json -> new ConfigChange.SetDefault(
                        basedOn(json),
                        text(json, "actor"),
                        text(json, "reason"),
                        text(json, "key"),
                        text(json, "value")));
    }

    /** Body {@code {basedOn, actor, reason, key, value, scope, target, endsAt}}; the end time is ISO 8601 in UTC. */
    static Either<Failure, ConfigChange> addException(@Nullable Buffer body) {
        return read(
                body,
                json -> new ConfigChange.AddException(
                        basedOn(json),
                        text(json, "actor"),
                        text(json, "reason"),
                        text(json, "key"),
                        text(json, "value"),
                        scope(text(json, "scope")),
                        text(json, "target"),
                        time(text(json, "endsAt"))));
    }

    /** Body {@code {basedOn, actor, reason}}. */
    static Either<Failure, ConfigChange> endException(String id, @Nullable Buffer body) {
        return read(
                body,
                json -> new ConfigChange.EndException(basedOn(json), text(json, "actor"), text(json, "reason"), id));
    }

    /** Turns the body into a change; throws {@link IllegalArgumentException} with a message for the operator. */
    private interface Reader {
        ConfigChange read(JsonObject json);
    }

    private static Either<Failure, ConfigChange> read(@Nullable Buffer body, Reader reader) {
        if (body == null || body.length() == 0) {
            return invalid("the request needs a JSON body");
        }
        try {
            return Either.right(reader.read(new JsonObject(body)));
        } catch (DecodeException e) {
            return invalid("the body is not a JSON object");
        } catch (IllegalArgumentException e) {
            return invalid(String.valueOf(e.getMessage()));
        }
    }

    private static Either<Failure, ConfigChange> invalid(String message) {
        return Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, "config.change", message));
    }

    private static String text(JsonObject json, String name) {
        Object value = json.getValue(name);
        if (value instanceof String text) {
            return text;
        }
        throw new IllegalArgumentException(name + ": must be a text");
    }

    private static long basedOn(JsonObject json) {
        Object value = json.getValue("basedOn");
        if (value instanceof Integer || value instanceof Long) {
            return ((Number) value).longValue();
        }
        throw new IllegalArgumentException("basedOn: must be the revision that the change is based on");
    }

    private static Scope scope(String text) {
        String name = text.toUpperCase(Locale.ROOT).replace('-', '_');
        return Arrays.stream(Scope.values())
                .filter(scope -> scope.name().equals(name))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("scope: must be team, service, worker or data-centre"));
    }

    private static long time(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            throw new IllegalArgumentException(
                    "endsAt: must be a time like 2026-12-24T18:00:00Z, not '" + text + "'", e);
        }
    }
}
