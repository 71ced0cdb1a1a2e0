package io.radishspindle.pool.model;

import io.radishspindle.model.Resources;
import java.util.List;

/**
 * A worker as it registers itself. Immutable and thread-safe.
 *
 * @param id names one registration of the worker
 * @param pool service that the worker belongs to
 * @param bootWallMs Unix milliseconds of its start; 0 if unknown
 * @param remainingMs least time left before a draining worker exits, in milliseconds; -1 if unknown
 */
public record WorkerEntry(
        String id,
        String pool,
        String host,
        int port,
        String dataCentre,
        String rack,
        boolean draining,
        long remainingMs,
        long bootWallMs,
        Resources capacity,
        List<String> labels) {
    public WorkerEntry {
        labels = List.copyOf(labels);
    }

    /** Whether both name the same life of a worker at the same address. */
    public boolean isSameIncarnation(WorkerEntry other) {
        return id.equals(other.id) && host.equals(other.host) && port == other.port && bootWallMs == other.bootWallMs;
    }
}
