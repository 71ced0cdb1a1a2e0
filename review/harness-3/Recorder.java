import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start. Thread-safe. */
final class Recorder implements AutoCloseable {
    private final long startedNanos = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return (System.nanoTime() - startedNanos) / 1_000_000;
    }

    synchronized void log(String format, Object... values) {
        out.printf("%7d %s%n", nowMs(), String.format(format, values));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
