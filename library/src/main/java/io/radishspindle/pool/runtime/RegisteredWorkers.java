package io.radishspindle.pool.runtime;

import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore.Item;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Tracks the entries that workers register in the store, and reports changes to the owners of their slices on this VM.
 * Confined to one event loop.
 *
 * <p>Invariants: an entry that can't be decoded counts as absent, also if it replaces the entry of a worker. The entry
 * of a worker never goes back: the pages of a listing are no snapshot, so that the watch that follows it may begin with
 * changes that are older than some of its items.
 */
final class RegisteredWorkers implements PrefixWatch.Listener {
    private final PlatformCodec codec;
    private final PoolSlices slices;
    private final Function<String, Optional<PoolOwner>> ownerOfSlice;
    private final Map<String, WorkerEntry> workers = new HashMap<>();
    /** Revision of the last change of each entry that was listed last or has changed since, also of removed ones. */
    private final Map<String, Long> revisions = new HashMap<>();

    RegisteredWorkers(PlatformCodec codec, PoolSlices slices, Function<String, Optional<PoolOwner>> ownerOfSlice) {
        this.codec = codec;
        this.slices = slices;
        this.ownerOfSlice = ownerOfSlice;
    }

    /** The known workers of a slice. */
    List<WorkerEntry> of(String slice) {
        return workers.values().stream()
                .filter(worker -> slices.ofWorker(worker).filter(slice::equals).isPresent())
                .toList();
    }

    void clear() {
        workers.clear();
        revisions.clear();
    }

    @Override
    public void onListed(List<Item> items) {
        Set<String> present = items.stream().map(item -> id(item.key())).collect(Collectors.toSet());
        List.copyOf(workers.keySet()).stream()
                .filter(id -> !present.contains(id))
                .forEach(this::onRemoved);
        revisions.keySet().retainAll(present);
        items.forEach(this::onChanged);
    }

    @Override
    public void onChanged(Item item) {
        String id = id(item.key());
        if (item.revision() < revisions.getOrDefault(id, 0L)) {
            return;
        }
        revisions.put(id, item.revision());
        byte[] value = item.value();
        if (value == null) {
            onRemoved(id);
            return;
        }
        codec.worker(item.key(), value).ifPresentOrElse(this::onRegistered, () -> onRemoved(id));
    }

    private void onRegistered(WorkerEntry entry) {
        WorkerEntry before = workers.put(entry.id(), entry);
        if (before != null && !slices.ofWorker(before).equals(slices.ofWorker(entry))) {
            ownerOf(before).ifPresent(owner -> owner.onWorkerUnregistered(entry.id()));
        }
        ownerOf(entry).ifPresent(owner -> owner.onWorkerRegistered(entry));
    }

    private void onRemoved(String id) {
        WorkerEntry entry = workers.remove(id);
        if (entry != null) {
            ownerOf(entry).ifPresent(owner -> owner.onWorkerUnregistered(id));
        }
    }

    private Optional<PoolOwner> ownerOf(WorkerEntry worker) {
        return slices.ofWorker(worker).flatMap(ownerOfSlice);
    }

    private String id(String key) {
        return key.substring(codec.workerPrefix().length());
    }
}
