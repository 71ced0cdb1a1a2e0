package io.radishspindle.ownership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Writes records of this package as MessagePack. Thread-safe. Records are written as arrays where many of them
 * share a value, because every byte may cross regions; fields may therefore only be appended.
 */
final class RecordCodec {
    private static final ObjectMapper MAPPER = mapper();

    private RecordCodec() {}

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
        for (Class<?> type :
                new Class<?>[] {JobSpec.class, Resources.class, JournalSnapshot.Job.class, JournalSegment.class}) {
            mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
        }
        mapper.configOverride(OwnershipRecord.class).setIgnorals(JsonIgnoreProperties.Value.forIgnoreUnknown(true));
        return mapper;
    }

    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException e) {
            throw new UncheckedIOException("store value is no " + type.getSimpleName(), e);
        }
    }
}
