package io.radishspindle.pool.model;

import io.radishspindle.model.Resources;
import java.util.List;

/**
 * The registration of a worker, as the worker wrote it. Immutable and thread-safe.
 *
 * @param id identifies one registration of the worker
 * @param pool pool that the worker belongs to
 * @param bootWallMs Unix milliseconds at which the worker started; 0 if unknown
 * @param remainingMs minimum time left before a draining worker exits, in milliseconds; -1 if unknown
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

    /** Returns whether both registrations are of a worker with the same id at the same address. */
    public boolean isAtSameAddress(WorkerEntry other) {
        return id.equals(other.id) && host.equals(other.host) && port == other.port;
    }

    /** Returns whether both describe the same incarnation of a worker at the same address. */
    public boolean isSameIncarnation(WorkerEntry other) {
        return isAtSameAddress(other) && bootWallMs == other.bootWallMs;
    }
}
