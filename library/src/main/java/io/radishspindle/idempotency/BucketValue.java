package io.radishspindle.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Value of one bucket: the records that have not expired, in MessagePack. Not thread-safe.
 *
 * <p>The claim id of a record is also the change id of the write that made it: a writer that finds it in the bucket
 * knows that its write was applied, and as long as the record is kept no other write can hide it.
 */
final class BucketValue {
    /** Status of a record whose outcome is not known. */
    static final int NO_STATUS = 0;

    private static final int FORMAT_VERSION = 1;
    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    /** A request; {@code recordedAtMs} is wall-clock time. Arrays without names keep the value small. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Entry(long high, long low, long fingerprint, String claimId, int status, long recordedAtMs) {
        boolean isFinished() {
            return status != NO_STATUS;
        }
    }

    /** The value as written. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record Document(int version, List<Entry> entries) {}

    private final Map<KeyHash, Entry> entries = new LinkedHashMap<>();

    /** Reads a value; an empty one has no records. */
    static Either<Failure, BucketValue> decode(String key, byte[] bytes) {
        BucketValue value = new BucketValue();
        if (bytes.length == 0) {
            return Either.right(value);
        }
        try {
            Document document = MESSAGE_PACK.readValue(bytes, Document.class);
            if (document.version() != FORMAT_VERSION) {
                return Either.left(unreadable(key, "format version " + document.version()));
            }
            for (Entry entry : document.entries()) {
                value.entries.put(new KeyHash(entry.high(), entry.low()), entry);
            }
            return Either.right(value);
        } catch (IOException | RuntimeException e) {
            // The decoder reports some malformed values by unchecked exceptions.
            return Either.left(unreadable(key, e.toString()));
        }
    }

    byte[] encode() {
        try {
            return MESSAGE_PACK.writeValueAsBytes(new Document(FORMAT_VERSION, new ArrayList<>(entries.values())));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a bucket of plain records can't be encoded", e);
        }
    }

    /** Removes records made before {@code wallMs}. */
    void expire(long wallMs) {
        entries.values().removeIf(entry -> entry.recordedAtMs() < wallMs);
    }

    int size() {
        return entries.size();
    }

    @Nullable
    Entry find(KeyHash hash) {
        return entries.get(hash);
    }

    void put(Entry entry) {
        entries.put(new KeyHash(entry.high(), entry.low()), entry);
    }

    void remove(KeyHash hash) {
        entries.remove(hash);
    }

    private static Failure unreadable(String key, String reason) {
        return Failure.rejected(ErrorCode.INTERNAL, "idempotency.decode", key + " can't be read: " + reason);
    }
}
