package io.radishspindle.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * What a process has used since its start, as the Linux kernel counts it in {@code /proc}. Immutable and thread-safe.
 *
 * @param atNs time of the sample by {@link System#nanoTime}
 * @param cpuNs processor time of all threads in nanoseconds
 * @param readBytes bytes read by system calls, sockets included
 * @param writtenBytes bytes written by system calls, sockets included
 * @param residentKib resident memory in KiB at the time of the sample
 */
record ProcessUsage(long atNs, long cpuNs, long readBytes, long writtenBytes, long residentKib) {
    /** Sums over the time between two samples, per second. */
    record Rate(double cpuPercent, double bytesPerSecond, double residentMib) {}

    static ProcessUsage of(Process process) {
        long cpuNs = process.info()
                .totalCpuDuration()
                .orElseThrow(() -> new IllegalStateException("no processor time of process " + process.pid()))
                .toNanos();
        Path proc = Path.of("/proc", Long.toString(process.pid()));
        return new ProcessUsage(
                System.nanoTime(),
                cpuNs,
                field(proc.resolve("io"), "rchar:"),
                field(proc.resolve("io"), "wchar:"),
                field(proc.resolve("status"), "VmRSS:"));
    }

    Rate since(ProcessUsage earlier) {
        double seconds = (atNs - earlier.atNs) / (double) TimeUnit.SECONDS.toNanos(1);
        double cpuSeconds = (cpuNs - earlier.cpuNs) / (double) TimeUnit.SECONDS.toNanos(1);
        long bytes = readBytes - earlier.readBytes + writtenBytes - earlier.writtenBytes;
        return new Rate(100 * cpuSeconds / seconds, bytes / seconds, residentKib / 1024.0);
    }

    private static long field(Path file, String name) {
        try {
            return Files.readAllLines(file).stream()
                    .filter(line -> line.startsWith(name))
                    .map(line -> line.substring(name.length()).replace("kB", "").trim())
                    .mapToLong(Long::parseLong)
                    .findFirst()
                    .orElseThrow(() -> new IllegalStateException("no " + name + " in " + file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
