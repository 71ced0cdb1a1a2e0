package io.radishspindle.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Java processes that this process started. Thread-safe.
 *
 * <p>Invariants: only processes started here are ever signalled, by their own handles. After {@link #close} none of
 * them runs and none can be started.
 */
public final class Children implements AutoCloseable {
    private static final long GRACE_MS = 4_000;

    private final Path directory;
    private final Map<String, Process> running = new LinkedHashMap<>();
    private boolean closed;

    /** Output of each process goes to {@code <name>.log} in the directory. */
    Children(Path directory) {
        this.directory = directory;
    }

    /** Starts a program jar. */
    synchronized void start(String name, int heapMb, Path jar, List<String> arguments) {
        if (closed) {
            throw new IllegalStateException("the cluster is being closed");
        }
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx" + heapMb + "m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        command.addAll(List.of("-jar", jar.toString()));
        command.addAll(arguments);
        ProcessBuilder.Redirect log = ProcessBuilder.Redirect.appendTo(
                directory.resolve(name + ".log").toFile());
        try {
            running.put(
                    name,
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(log)
                            .start());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + name, e);
        }
    }

    synchronized Process get(String name) {
        Process process = running.get(name);
        if (process == null) {
            throw new IllegalArgumentException("no process " + name);
        }
        return process;
    }

    /** Kills a process and returns the wall-clock time in milliseconds at which it was certainly dead. */
    public long kill(String name) {
        Process process = get(name);
        process.destroyForcibly();
        process.onExit().join();
        return System.currentTimeMillis();
    }

    /** Sends SIGTERM; returns at once. */
    public void terminate(String name) {
        get(name).destroy();
    }

    /** Names of processes that have ended although nobody asked them to; for diagnosis. */
    synchronized List<String> ended() {
        return running.entrySet().stream()
                .filter(entry -> !entry.getValue().isAlive())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Asks all to end, and kills those that do not in time. */
    @Override
    public void close() {
        List<Process> processes;
        synchronized (this) {
            closed = true;
            processes = List.copyOf(running.values());
        }
        processes.forEach(Process::destroy);
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GRACE_MS);
        for (Process process : processes) {
            awaitEnd(process, deadline - System.nanoTime());
        }
        processes.forEach(Process::destroyForcibly);
        processes.forEach(process -> process.onExit().join());
    }

    private static void awaitEnd(Process process, long limitNs) {
        try {
            process.waitFor(Math.max(0, limitNs), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
