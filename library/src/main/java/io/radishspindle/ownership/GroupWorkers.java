package io.radishspindle.ownership;

import io.radishspindle.model.WorkerInfo;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;

/**
 * The workers of a group as its owner sees them: their links, the majorities that they form, and the confirmation
 * of the epoch by the store. Not thread-safe.
 */
final class GroupWorkers {
    /** Told what workers answered, and of a later epoch in the record. */
    interface Listener extends WorkerLink.Listener {
        void laterEpochInStore();
    }

    private final Effects fx;
    private final OwnershipTiming timing;
    private final String recordKey;
    private final OwnershipRecord record;
    private final Listener listener;
    private final Map<String, WorkerLink> links = new TreeMap<>();
    private List<Set<String>> quorums;
    private long confirmedAtMs;
    private boolean confirming;
    private boolean closed;
    private long nextConfirmAtMs = Quorum.NEVER;

    /** @param confirmedAtMs when the write of the record was sent */
    GroupWorkers(
            Effects fx,
            OwnershipTiming timing,
            String group,
            OwnershipRecord record,
            long confirmedAtMs,
            Listener listener) {
        this.fx = fx;
        this.timing = timing;
        this.recordKey = "group/" + group + "/owner";
        this.record = record;
        this.confirmedAtMs = confirmedAtMs;
        this.quorums = record.quorums();
        this.listener = listener;
        for (WorkerInfo worker : record.workers()) {
            links.put(worker.id(), new WorkerLink(fx, timing, record.epoch(), worker, listener));
        }
    }

    @Nullable
    WorkerLink find(String workerId) {
        return links.get(workerId);
    }

    boolean isMember(String workerId) {
        return links.containsKey(workerId);
    }

    void forEach(BiConsumer<String, WorkerLink> action) {
        links.forEach(action);
    }

    /** A change of the worker set may be in force: from now on a majority of both sets is needed. */
    void requireAlso(Set<String> workers) {
        quorums = List.of(record.workerIds(), workers);
    }

    /** The change of the worker set is complete. */
    void requireOnlyOwn() {
        quorums = List.of(record.workerIds());
    }

    /** Until when the owner may send renewals and commands; {@link Quorum#NEVER} if a majority never answered. */
    long authorityUntilMs() {
        long at = Quorum.majoritySince(quorums, id -> {
            WorkerLink link = links.get(id);
            return link == null ? Quorum.NEVER : link.answeredSentAtMs();
        });
        return at == Quorum.NEVER ? Quorum.NEVER : at + timing.controlLeaseMs();
    }

    boolean hasClaimedMajority() {
        return Quorum.majoritySince(quorums, this::claimedAtMs) != Quorum.NEVER;
    }

    boolean hasClaimedAll() {
        return record.workers().stream().noneMatch(worker -> claimedAtMs(worker.id()) == Quorum.NEVER);
    }

    /** Whether all workers but these answer, so that raising the epoch leaves no task open. */
    boolean allReadyExcept(Set<String> ids) {
        return links.entrySet().stream()
                .allMatch(entry ->
                        ids.contains(entry.getKey()) || entry.getValue().isReady());
    }

    /** Workers that were lost or silent for long. */
    Set<String> longLost(long majorityAtMs) {
        Set<String> result = new HashSet<>();
        links.forEach((id, link) -> {
            long silentSince = Math.max(link.answeredSentAtMs(), majorityAtMs);
            if (!link.isReady()
                    && link.isLost()
                    && fx.now() - silentSince > timing.lostAfterMs() + OwnershipTiming.KEEP_LOST_WORKER_MS) {
                result.add(id);
            }
        });
        return result;
    }

    void send(long authorityUntilMs) {
        long confirmedUntil = confirmedAtMs + timing.heartbeatMs();
        boolean confirm = false;
        for (WorkerLink link : links.values()) {
            link.tick(authorityUntilMs, confirmedUntil);
            confirm |= link.needsConfirmation();
        }
        if (confirm && !confirming && fx.now() > confirmedUntil && fx.now() >= nextConfirmAtMs) {
            confirmEpoch();
        }
    }

    void close() {
        closed = true;
        links.values().forEach(WorkerLink::close);
    }

    private long claimedAtMs(String workerId) {
        WorkerLink link = links.get(workerId);
        return link == null ? Quorum.NEVER : link.claimedAtMs();
    }

    private void confirmEpoch() {
        confirming = true;
        long sentAt = fx.now();
        nextConfirmAtMs = sentAt + timing.heartbeatMs();
        fx.read(recordKey, result -> {
            confirming = false;
            if (closed || result.isLeft()) {
                return;
            }
            OwnershipRecord found = Owner.decode(result.get());
            if (found == null || found.epoch() > record.epoch()) {
                listener.laterEpochInStore();
            } else {
                confirmedAtMs = sentAt;
            }
        });
    }
}
