import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run; thread-safe. */
final class Record {
    /** Observes the runs on the executors; called in order. */
    interface Listener {
        default void onStart(Executor executor, Executor.Run run) {}

        default void onEnd(Executor executor, Executor.Run run, String how) {}

        default void onStop(Executor executor, Executor.Run run) {}
    }

    private final PrintWriter out;
    private final List<Listener> listeners = new ArrayList<>();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        out.printf("%8.3f s  %s%n", Clock.ms() / 1000.0, line);
        out.flush();
    }

    synchronized void listen(Listener listener) {
        listeners.add(listener);
    }

    synchronized void onStart(Executor executor, Executor.Run run) {
        listeners.forEach(listener -> listener.onStart(executor, run));
    }

    synchronized void onEnd(Executor executor, Executor.Run run, String how) {
        listeners.forEach(listener -> listener.onEnd(executor, run, how));
    }

    synchronized void onStop(Executor executor, Executor.Run run) {
        listeners.forEach(listener -> listener.onStop(executor, run));
    }
}
