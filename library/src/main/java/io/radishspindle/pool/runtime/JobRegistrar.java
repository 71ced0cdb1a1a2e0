package io.radishspindle.pool.runtime;

import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.Records.Registration;
import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Registers the ids of jobs that VMs of an earlier release store in a slice while this VM owns it. Confined to one
 * event loop.
 *
 * <p>Invariant: such a job is handed on for scheduling only if its id is registered for this slice; if another slice
 * has the id, the job is removed.
 */
final class JobRegistrar {
    private static final long RETRY_DELAY_MS = 150;

    private final Vertx vertx;
    private final SharedStore store;
    private final String slice;
    private final long fencingToken;
    /** Ids of the jobs that are being registered. */
    private final Set<String> unresolved = new HashSet<>();

    JobRegistrar(Vertx vertx, SharedStore store, String slice, long fencingToken) {
        this.vertx = vertx;
        this.store = store;
        this.slice = slice;
        this.fencingToken = fencingToken;
    }

    /** Drops all jobs that are being registered. */
    void close() {
        unresolved.clear();
    }

    /** Registers a job; then calls {@code onRegistered}, unless the job is dropped or another slice has its id. */
    void register(PoolJob job, Runnable onRegistered) {
        if (unresolved.add(job.id())) {
            attempt(job, onRegistered);
        }
    }

    /** Drops a job that has been cancelled. */
    void drop(String jobId) {
        unresolved.remove(jobId);
    }

    private void attempt(PoolJob job, Runnable onRegistered) {
        if (!unresolved.contains(job.id())) {
            return;
        }
        String key = StoreKeys.registration(job.id());
        Txn txn = new Txn(
                Map.of(StoreKeys.owner(slice), fencingToken, key, 0L),
                List.of(new Write(key, Records.encode(Registration.of(job)), 0)),
                List.of());
        store.transact(txn).onSuccess(result -> {
            if (result.isLeft()) {
                vertx.setTimer(RETRY_DELAY_MS, ignored -> attempt(job, onRegistered));
            } else if (result.get().applied()) {
                resolve(job, onRegistered);
            } else {
                onConflict(job, result.get(), onRegistered);
            }
        });
    }

    private void resolve(PoolJob job, Runnable onRegistered) {
        if (unresolved.remove(job.id())) {
            onRegistered.run();
        }
    }

    /** The id is registered, unless the claim has been replaced, in which case the new owner takes care of the job. */
    private void onConflict(PoolJob job, TxnResult result, Runnable onRegistered) {
        for (Item item : result.current()) {
            if (StoreKeys.isRegistration(item.key())) {
                Records.registration(item).ifPresent(registered -> {
                    if (registered.slice().equals(slice)) {
                        resolve(job, onRegistered);
                    } else if (unresolved.contains(job.id())) {
                        removeDuplicate(job, item.revision(), registered.slice());
                    }
                });
            }
        }
        unresolved.remove(job.id());
    }

    private void removeDuplicate(PoolJob job, long registrationRevision, String otherSlice) {
        Txn removal = new Txn(
                Map.of(StoreKeys.owner(slice), fencingToken, StoreKeys.registration(job.id()), registrationRevision),
                List.of(),
                List.of(StoreKeys.job(slice, job.id())));
        store.transact(removal)
                .onSuccess(result -> Logger.warn(
                        "event=duplicate-job job={} queue={} pool={} registered_in={} outcome=\"{}\"",
                        job.id(),
                        job.queue(),
                        slice,
                        otherSlice,
                        result.fold(failure -> failure.message(), txn -> txn.applied() ? "removed" : "kept")));
    }
}
