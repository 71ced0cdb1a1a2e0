package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.WorkerRoster;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Records the workers of one pool in the store, where the next owner finds those whose registrations are missing.
 * Confined to one event loop.
 *
 * <p>Invariants: every write is conditional on the claim and on the last known state of each record, so that an owner
 * reads after its claim all that earlier owners have recorded, and a write that is carried out late undoes nothing; a
 * worker is recorded only after it has answered, and removed only once it can't have runs; nothing is started on a
 * worker before the record of its registered incarnation is durable, nor while a write that removes it may take effect.
 */
final class StoredRoster implements WorkerRoster {
    /** Time before a failed write is repeated, in milliseconds. */
    private static final long RETRY_MS = 200;
    /** A worker takes two entries of a transaction, its record and the condition on it; the claim takes one. */
    private static final int MAX_BATCH = (SharedStore.MAX_TXN_ENTRIES - 1) / 2;

    /** Receives what matters to the owner of the pool. */
    interface Listener {
        /** Runs may be started on more workers. */
        void onRecorded();

        /** The claim of this VM has been replaced. */
        void onSuperseded(String reason);
    }

    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long fencingToken;
    private final Listener listener;
    /** Workers whose records are durable, by id. */
    private final Map<String, WorkerEntry> recorded = new HashMap<>();
    /** Revisions of the records, by key. */
    private final Map<String, Long> revisions = new HashMap<>();
    /** Workers in writes that may still take effect, by id. */
    private final Map<String, WorkerEntry> adding = new HashMap<>();
    /** Ids in removals that may still take effect. */
    private final Set<String> removing = new HashSet<>();

    private boolean loaded;
    private boolean complete;
    private boolean closed;
    private boolean inFlight;
    private long nextWriteMs = Long.MIN_VALUE;

    StoredRoster(Clock clock, SharedStore store, String pool, long fencingToken, Listener listener) {
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.fencingToken = fencingToken;
        this.listener = listener;
    }

    /**
     * Loads the records, which were read after the claim.
     *
     * @param hasJobs whether earlier owners may have started runs
     * @return the recorded workers
     */
    List<WorkerEntry> load(List<Item> items, boolean hasJobs) {
        loaded = true;
        // An owner of a release without records leaves jobs and no record.
        complete = !items.isEmpty() || !hasJobs;
        items.forEach(this::onRead);
        return List.copyOf(recorded.values());
    }

    private void onRead(Item item) {
        revisions.put(item.key(), item.revision());
        Optional<WorkerEntry> worker = decode(item);
        worker.ifPresentOrElse(
                entry -> recorded.put(entry.id(), entry), () -> recorded.remove(StoreKeys.lastPart(item.key())));
        complete &= worker.isPresent() || !item.exists();
    }

    private Optional<WorkerEntry> decode(Item item) {
        byte[] value = item.value();
        return value == null
                ? Optional.empty()
                : Records.decode(item.key(), value, Records.Worker.class)
                        .map(worker -> new WorkerEntry(
                                StoreKeys.lastPart(item.key()),
                                pool,
                                worker.host(),
                                worker.port(),
                                worker.dataCentre(),
                                worker.rack(),
                                false,
                                -1,
                                worker.bootWallMs(),
                                new Resources(worker.milliCores(), worker.memoryMib(), worker.accelerators()),
                                worker.labels()))
                        .toJavaOptional();
    }

    void close() {
        closed = true;
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
        WorkerEntry record = recorded.get(worker.id());
        return record != null && record.isSameIncarnation(worker) && !removing.contains(worker.id());
    }

    @Override
    public boolean isComplete() {
        return complete;
    }

    /** Writes the workers that have answered, and removes those that are gone; called after each scheduling pass. */
    void update(PoolScheduler scheduler) {
        long nowMs = clock.nowMs();
        if (!loaded || closed || inFlight || nowMs < nextWriteMs) {
            return;
        }
        Map<String, WorkerEntry> added = new LinkedHashMap<>(adding);
        scheduler.answeringWorkers(nowMs).stream()
                .filter(worker -> !mayStartOn(worker))
                .limit(Math.max(0, MAX_BATCH - added.size()))
                .forEach(worker -> added.put(worker.id(), worker));
        Set<String> removed = new LinkedHashSet<>(removing);
        recorded.keySet().stream()
                .filter(id -> !scheduler.mayHaveRuns(id, nowMs))
                .limit(Math.max(0, MAX_BATCH - added.size() - removed.size()))
                .forEach(removed::add);
        removed.removeAll(added.keySet());
        if (!added.isEmpty() || !removed.isEmpty()) {
            write(added, removed);
        }
    }

    private void write(Map<String, WorkerEntry> added, Set<String> removed) {
        inFlight = true;
        adding.putAll(added);
        removing.addAll(removed);
        Map<String, Long> expected = new HashMap<>(Map.of(StoreKeys.owner(pool), fencingToken));
        List<Write> writes = new ArrayList<>();
        added.forEach((id, worker) -> {
            expected.put(key(id), revisions.getOrDefault(key(id), 0L));
            writes.add(new Write(key(id), Records.encode(record(worker)), 0));
        });
        removed.forEach(id -> expected.put(key(id), revisions.getOrDefault(key(id), 0L)));
        store.transact(new Txn(expected, writes, removed.stream().map(this::key).toList()))
                .onSuccess(result -> onWritten(added, removed, result));
    }

    private String key(String workerId) {
        return StoreKeys.workers(pool) + workerId;
    }

    private static Records.Worker record(WorkerEntry worker) {
        return new Records.Worker(
                worker.host(),
                worker.port(),
                worker.dataCentre(),
                worker.rack(),
                worker.bootWallMs(),
                worker.capacity().milliCores(),
                worker.capacity().memoryMib(),
                worker.capacity().accelerators(),
                worker.labels());
    }

    private void onWritten(Map<String, WorkerEntry> added, Set<String> removed, Either<Failure, TxnResult> result) {
        inFlight = false;
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            nextWriteMs = clock.nowMs() + RETRY_MS;
            Logger.warn(
                    "event=workers-not-recorded pool={} token={} added={} removed={} error=\"{}\"",
                    pool,
                    fencingToken,
                    added.size(),
                    removed.size(),
                    result.getLeft().message());
            return;
        }
        adding.clear();
        removing.clear();
        if (!result.get().applied()) {
            onConflict(result.get().current());
            return;
        }
        removed.forEach(id -> revisions.remove(key(id)));
        added.keySet().forEach(id -> revisions.put(key(id), result.get().revision()));
        recorded.keySet().removeAll(removed);
        recorded.putAll(added);
        Logger.info(
                "event=workers-recorded pool={} token={} added={} removed={} workers={}",
                pool,
                fencingToken,
                added.size(),
                removed.size(),
                recorded.size());
        listener.onRecorded();
    }

    /** Either the claim has been replaced, or an earlier write whose answer was lost was executed after all. */
    private void onConflict(List<Item> current) {
        String claim = StoreKeys.owner(pool);
        if (current.stream().noneMatch(item -> item.key().equals(claim) && item.revision() == fencingToken)) {
            listener.onSuperseded("workers were not recorded under the claim");
            return;
        }
        current.stream().filter(item -> !item.key().equals(claim)).forEach(this::onRead);
    }
}
