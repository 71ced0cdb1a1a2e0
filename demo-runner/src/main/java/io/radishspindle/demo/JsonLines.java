package io.radishspindle.demo;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.http.Wire;
import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Reads the records that stand-ins write line by line. Stateless. */
final class JsonLines {
    private JsonLines() {}

    /** Reads every file of a directory; the result has one list per file. */
    static <T> List<List<T>> readAll(Path directory, Class<T> type) {
        if (!Files.isDirectory(directory)) {
            return List.of();
        }
        try (Stream<Path> files = Files.list(directory)) {
            return files.sorted().map(file -> read(file, type)).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Only the last line may be incomplete, because its writer was killed or still writes it. */
    private static <T> List<T> read(Path file, Class<T> type) {
        List<String> lines;
        try {
            lines = Files.readAllLines(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        List<T> events = new ArrayList<>();
        for (int i = 0; i < lines.size(); i++) {
            Either<Failure, T> event = Wire.fromJson(Buffer.buffer(lines.get(i)), type, "history", file.toString());
            if (event.isLeft() && i < lines.size() - 1) {
                throw new IllegalStateException(event.getLeft().message());
            }
            event.forEach(events::add);
        }
        return events;
    }
}
