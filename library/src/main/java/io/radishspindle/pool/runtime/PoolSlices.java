package io.radishspindle.pool.runtime;

import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.WorkerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Divides large pools into slices (shards), each with its own owner, keys and workers. A pool with one slice keeps its
 * name. Confined to one event loop.
 *
 * <p>Invariants: every job and every worker belongs to one slice; the number of slices of a pool never changes, so
 * that all VMs find a job in the same slice; the workers of a rack share a slice, as gangs may have to run in one rack.
 */
final class PoolSlices {
    /**
     * Workers that one owner can schedule without losing service: little of the jobs' value is lost with 216 workers in
     * the largest pool, and 0.07 of it with 720.
     */
    private static final int WORKERS_PER_SLICE = 300;

    private final ControlView view;

    PoolSlices(ControlView view) {
        this.view = view;
    }

    /** Number of slices for a pool with that many workers. */
    static int countFor(int workers) {
        return Math.max(1, (workers + WORKERS_PER_SLICE / 2) / WORKERS_PER_SLICE);
    }

    /** Slices of a pool, in the same order on all VMs; empty while their number is unknown. */
    List<String> of(String pool) {
        int count = view.sliceCount(pool).orElse(0);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(name(pool, i, count));
        }
        return names;
    }

    /** Slices of all pools whose number is known. */
    List<String> of(List<String> pools) {
        return pools.stream().flatMap(pool -> of(pool).stream()).toList();
    }

    /** Slices of all known pools, also of those that the configuration no longer has. */
    List<String> all() {
        return of(List.copyOf(view.sizedPools()));
    }

    /** Slice for a new job of a pool; empty while the number of slices is unknown. */
    Optional<String> ofJob(String pool, String jobId) {
        return slice(pool, jobId);
    }

    /** The job, assigned to its slice; empty while the number of slices is unknown. */
    Optional<PoolJob> assign(PoolJob job) {
        return ofJob(job.pool(), job.id()).map(job::inPool);
    }

    /** Slice of a worker; empty while the number of slices is unknown. */
    Optional<String> ofWorker(WorkerEntry worker) {
        String rack = worker.dataCentre() + "/" + worker.rack();
        return slice(worker.pool(), worker.rack().isEmpty() ? worker.id() : rack);
    }

    private Optional<String> slice(String pool, String member) {
        return view.sliceCount(pool)
                .map(count ->
                        name(pool, (int) Math.floorMod(Hashing.wyhashFinal4().hashCharsToLong(member), count), count));
    }

    private static String name(String pool, int index, int count) {
        return count == 1 ? pool : pool + "~" + index;
    }
}
