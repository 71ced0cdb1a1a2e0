package io.radishspindle.ownership;

import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds out which workers that belong to a group, but are not in its record, answer. Not thread-safe.
 *
 * <p>A claim is sent, which extends no lease. Such a worker has no vote, and gets work only after a record that names
 * it is in force.
 */
final class JoiningWorkers {
    private static final long PROBE_MS = 5_000;

    private final Effects fx;
    private final OwnershipTiming timing;
    private final Map<String, Long> nextProbeAtMs = new HashMap<>();
    private final Map<String, Long> answeredAtMs = new HashMap<>();

    JoiningWorkers(Effects fx, OwnershipTiming timing) {
        this.fx = fx;
        this.timing = timing;
    }

    /** Workers to be added; probes those of which nothing is known. */
    List<WorkerInfo> answered(OwnershipRecord record, List<WorkerInfo> assigned) {
        Set<String> members = record.workerIds();
        List<WorkerInfo> result = new ArrayList<>();
        for (WorkerInfo worker : assigned) {
            if (members.contains(worker.id())) {
                continue;
            }
            if (fx.now() - answeredAtMs.getOrDefault(worker.id(), Quorum.NEVER) < PROBE_MS) {
                result.add(worker);
            }
            if (fx.now() >= nextProbeAtMs.getOrDefault(worker.id(), Quorum.NEVER)) {
                probe(record, worker);
            }
        }
        return result;
    }

    private void probe(OwnershipRecord record, WorkerInfo worker) {
        nextProbeAtMs.put(worker.id(), fx.now() + PROBE_MS);
        WorkerClient.ControlRequest claim = new WorkerClient.ControlRequest(
                WorkerClient.Mode.CLAIM,
                record.epoch(),
                0,
                fx.self(),
                fx.nextSequence(),
                0,
                timing.controlLeaseMs(),
                timing.runLeaseMs(),
                List.of(),
                List.of(),
                List.of());
        fx.control(worker, claim, Long.MAX_VALUE, timing.heartbeatMs(), (sentAt, result) -> {
            if (result.isRight() && result.get().accepted()) {
                answeredAtMs.put(worker.id(), fx.now());
            }
        });
    }
}
