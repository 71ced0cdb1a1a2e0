package io.radishspindle.standin;

import io.radishspindle.platform.http.Wire;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * What a stand-in did, in the order in which it happened. Thread-safe.
 *
 * <p>With a file, each event is one line of JSON that is handed to the operating system at once, so that the
 * history of a killed process survives it.
 */
final class History<T> {
    private final List<T> events = new ArrayList<>();
    private final @Nullable Writer writer;

    private History(@Nullable Writer writer) {
        this.writer = writer;
    }

    static <T> History<T> inMemory() {
        return new History<>(null);
    }

    /** Appends to {@code <id>.jsonl} in the directory; a null directory means that no file is written. */
    static <T> History<T> in(@Nullable Path directory, String id) {
        if (directory == null) {
            return inMemory();
        }
        try {
            Files.createDirectories(directory);
            Path file = directory.resolve(id + ".jsonl");
            return new History<>(Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void add(T event) {
        events.add(event);
        if (writer == null) {
            return;
        }
        try {
            writer.write(Wire.toJson(event) + "\n");
            writer.flush();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized List<T> events() {
        return List.copyOf(events);
    }
}
