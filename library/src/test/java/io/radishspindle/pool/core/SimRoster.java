package io.radishspindle.pool.core;

import io.radishspindle.pool.model.WorkerEntry;
import java.util.HashMap;
import java.util.Map;

/** The workers that one simulated owner has recorded. Not thread-safe. */
final class SimRoster implements WorkerRoster {
    final Map<String, WorkerEntry> recorded;
    final Map<String, WorkerEntry> adding = new HashMap<>();
    boolean inFlight;
    boolean complete = true;

    SimRoster(Map<String, WorkerEntry> stored) {
        recorded = new HashMap<>(stored);
    }

    @Override
    public boolean contains(String workerId) {
        return recorded.containsKey(workerId);
    }

    @Override
    public boolean contains(String workerId, long bootWallMs) {
        WorkerEntry record = recorded.get(workerId);
        return record != null && record.bootWallMs() == bootWallMs;
    }

    @Override
    public boolean isBeingAdded(String workerId) {
        return adding.containsKey(workerId);
    }

    @Override
    public boolean mayStartOn(WorkerEntry worker) {
        return recorded.containsKey(worker.id()) && recorded.get(worker.id()).isSameIncarnation(worker) && !inFlight;
    }

    @Override
    public boolean isComplete() {
        return complete;
    }
}
