package io.radishspindle.platform.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * JSON and names that the platform's interfaces share; used by the adapters and by the stand-ins. Stateless and
 * thread-safe.
 *
 * <p>Unknown fields are ignored, so that the platform may add some. A missing field is an error, because a record
 * with a null component would break its users later.
 */
public final class Wire {
    /** Present with value {@code true} if the peer did not run or apply what it was asked. */
    public static final String NOT_RUN = "Not-Run";

    /** Present with value {@code true} if an executor asks for no further work. */
    public static final String LEAVING = "Leaving";

    /** Version of a key in the answer of the store. */
    public static final String VERSION = "Version";

    /** Revision of the whole store in the answer of the store. */
    public static final String REVISION = "Revision";

    /** Empty lists are left out: most control messages carry none, and each byte counts at one message a second. */
    private static final JsonInclude.Value NON_EMPTY =
            JsonInclude.Value.construct(JsonInclude.Include.NON_EMPTY, JsonInclude.Include.ALWAYS);

    private static final JsonSetter.Value ABSENT_IS_EMPTY = JsonSetter.Value.forValueNulls(Nulls.AS_EMPTY);

    private static final ObjectMapper JSON = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .withConfigOverride(List.class, list -> list.setInclude(NON_EMPTY).setSetterInfo(ABSENT_IS_EMPTY))
            .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
            .build();

    /** Answer to a successful write. */
    public record Written(long version, long revision) {}

    /** A key in a listing or in a batch of changes; the value is base64 in JSON. */
    public record Item(String key, byte[] value, long version) {}

    /** Answer to list and watch. */
    public record Items(List<Item> entries, long revision) {}

    /** Answer of an executor to a probe; {@code live} or {@code leaving}. */
    public record HealthState(String state) {}

    private Wire() {}

    /** Writes a value as JSON. */
    public static Buffer toJson(Object value) {
        try {
            return Buffer.buffer(JSON.writeValueAsBytes(value));
        } catch (IOException e) {
            throw new IllegalArgumentException("not representable in JSON: " + value.getClass(), e);
        }
    }

    /** Reads a value from JSON; yields {@code PROTOCOL_ERROR} if the text doesn't describe a {@code T}. */
    public static <T> Either<Failure, T> fromJson(Buffer text, Class<T> type, String step, String peer) {
        try {
            T value = JSON.readValue(text.getBytes(), type);
            if (value == null) {
                return Either.left(malformed(step, peer, "null"));
            }
            return Either.right(value);
        } catch (IOException e) {
            return Either.left(malformed(step, peer, e.toString()));
        }
    }

    /** Encodes a key for a path; slashes stay. */
    public static String encodePath(String key) {
        return encode(key).replace("%2F", "/");
    }

    /** Encodes a value for a query. */
    public static String encode(String value) {
        return URLEncoder.encode(value, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private static Failure malformed(String step, String peer, String detail) {
        return new Failure(ErrorCode.PROTOCOL_ERROR, step, peer, "malformed JSON: " + detail, false, 0);
    }
}
