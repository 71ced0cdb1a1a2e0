package io.radishspindle.pool.runtime;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/** Compresses the operators' configuration for the way between VMs. Stateless and thread-safe. */
final class CompressedConfig {
    /** Largest configuration that is inflated, in bytes: twice the store's limit for a value. */
    static final int MAX_BYTES = 2 * 1024 * 1024;

    private static final int BUFFER_BYTES = 64 * 1024;

    private CompressedConfig() {}

    /** The fastest level, as it delays the reply to every VM of the region. */
    static byte[] compress(byte[] value) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(value);
            deflater.finish();
            ByteArrayOutputStream compressed = new ByteArrayOutputStream(value.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                compressed.write(buffer, 0, deflater.deflate(buffer));
            }
            return compressed.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /** Empty if the bytes are not one whole compressed value, or if it is larger than {@link #MAX_BYTES}. */
    static Optional<byte[]> inflate(byte[] compressed) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            ByteArrayOutputStream value = new ByteArrayOutputStream(4 * compressed.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int bytes = inflater.inflate(buffer);
                if (bytes == 0 && !inflater.finished() || value.size() + bytes > MAX_BYTES) {
                    return Optional.empty();
                }
                value.write(buffer, 0, bytes);
            }
            return inflater.getRemaining() == 0 ? Optional.of(value.toByteArray()) : Optional.empty();
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
