package io.radishspindle.protocol;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes frames and messages as MessagePack, with records as arrays. New fields go only to the end of a record: an
 * older reader skips them, and a newer reader of an older record sees null or zero. Thread-safe.
 */
public final class PeerCodec {
    /** Largest frame after the handshake, in bytes without the length prefix. */
    static final int MAX_FRAME_BYTES = 1024 * 1024;

    /** Largest frame during the handshake, in bytes; limits what an unauthenticated peer can make a VM buffer. */
    static final int MAX_HANDSHAKE_BYTES = 4096;

    static final int LENGTH_BYTES = 4;

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .setAnnotationIntrospector(new RecordsAsArrays())
            .setVisibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
            .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final Map<Class<?>, Integer> CODES = codes();

    private PeerCodec() {}

    /** Type code of a message; throws {@link IllegalArgumentException} for a type that {@link MessageTypes} lacks. */
    static int code(Class<? extends PeerMessage> type) {
        Integer code = CODES.get(type);
        if (code == null) {
            throw new IllegalArgumentException(type + " is not listed in MessageTypes");
        }
        return code;
    }

    /** A message as it appears on the wire: length prefix, frame, envelope and message. */
    static Buffer encodeMessage(long id, PeerMessage message) {
        return encodeFrame(code(message.getClass()), new Frame.Envelope(id, encode(message)));
    }

    static Buffer encodeFrame(int type, Object body) {
        byte[] frame = encode(new Frame(Frame.VERSION, type, encode(body)));
        return Buffer.buffer(LENGTH_BYTES + frame.length)
                .appendInt(frame.length)
                .appendBytes(frame);
    }

    /** Size of a message on a connection in bytes, TCP and IP headers excluded. */
    public static int encodedSize(PeerMessage message) {
        return encodeMessage(0, message).length();
    }

    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Decodes a value; throws {@link ProtocolException} if the bytes are not exactly one value of the type. */
    static <T> T decode(byte[] bytes, Class<T> type) {
        checkStructure(bytes, type);
        try {
            @Nullable T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new ProtocolException("empty " + type.getSimpleName());
            }
            return value;
        } catch (IOException | IllegalArgumentException e) {
            throw new ProtocolException("not a valid " + type.getSimpleName() + ": " + firstLine(e), e);
        }
    }

    /**
     * Skips over the value to check its lengths. The parser allocates as much as a length field states before it checks
     * that the bytes are present, so a frame of a few bytes could otherwise exhaust the heap.
     */
    private static void checkStructure(byte[] bytes, Class<?> type) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            unpacker.skipValue();
            if (unpacker.hasNext()) {
                throw new ProtocolException("bytes after the end of " + type.getSimpleName());
            }
        } catch (IOException | MessagePackException e) {
            throw new ProtocolException("not a valid " + type.getSimpleName() + ": " + firstLine(e), e);
        }
    }

    private static String firstLine(Exception e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private static Map<Class<?>, Integer> codes() {
        Map<Class<?>, Integer> codes = new HashMap<>();
        MessageTypes.BY_CODE.forEach((code, type) -> codes.put(type, code));
        return Map.copyOf(codes);
    }

    /** Writes every record as an array, so that component names are not transmitted. Stateless. */
    private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {
        private static final long serialVersionUID = 1L;

        @Override
        public JsonFormat.@Nullable Value findFormat(Annotated annotated) {
            if (annotated.getRawType().isRecord()) {
                return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
            }
            return super.findFormat(annotated);
        }
    }
}
