package io.radishspindle.config;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.tinylog.Logger;

/** Stored form of the configuration and of its audit blocks: JSON with sorted keys. Thread-safe. */
final class ConfigCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ConfigCodec() {}

    static byte[] encode(FleetConfig config) {
        return write(config);
    }

    /** Decodes a document; an unreadable one yields nothing, so that the configuration in force stays. */
    static Optional<FleetConfig> decode(byte[] document) {
        try {
            FleetConfig config = MAPPER.readValue(document, FleetConfig.class);
            return Optional.ofNullable(config);
        } catch (IOException e) {
            Logger.error("event=config-unreadable bytes={} reason=\"{}\"", document.length, e.getMessage());
            return Optional.empty();
        }
    }

    static byte[] encodeAudit(List<AuditEntry> entries) {
        return write(entries);
    }

    static List<AuditEntry> decodeAudit(byte[] block) {
        try {
            return MAPPER.readValue(block, new TypeReference<List<AuditEntry>>() {});
        } catch (IOException e) {
            throw new UncheckedIOException("audit block is unreadable", e);
        }
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
