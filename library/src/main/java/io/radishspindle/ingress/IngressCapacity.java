package io.radishspindle.ingress;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * What callers may occupy of a process. Immutable and thread-safe.
 *
 * @param memoryBytes heap that requests and connections occupy together
 * @param connections connections of the port for requests
 */
public record IngressCapacity(long memoryBytes, int connections) {
    /** Connections of a port for probes, operators or metrics. */
    public static final int SERVICE_CONNECTIONS = 32;

    /** The rest of the heap is for the state of the VM, and for what is garbage while requests are decoded. */
    private static final int HEAP_SHARE = 5;
    /** The rest of the descriptors is for the store, peers and workers. */
    private static final int DESCRIPTOR_SHARE = 4;

    private static final int MAX_CONNECTIONS = 1_000;
    private static final int MIN_CONNECTIONS = 16;

    /** The default for this process, by its heap and its limit of open descriptors. */
    public static IngressCapacity ofProcess() {
        return ofProcess(Long.MAX_VALUE);
    }

    /** The default for this process if the machine allows it at most this many descriptors. */
    public static IngressCapacity ofProcess(long maxDescriptors) {
        long descriptors = Math.min(maxDescriptors, descriptorLimit());
        long connections = Math.min(MAX_CONNECTIONS, descriptors / DESCRIPTOR_SHARE);
        return new IngressCapacity(
                Runtime.getRuntime().maxMemory() / HEAP_SHARE, (int) Math.max(MIN_CONNECTIONS, connections));
    }

    /** Largest body that is served in calm, with its decoded form. */
    public long maxBodyBytes() {
        return memoryBytes / 2 / GuardedConnection.HEAP_PER_BODY_BYTE;
    }

    private static long descriptorLimit() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount()
                : Long.MAX_VALUE;
    }
}
