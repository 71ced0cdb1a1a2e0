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
}
