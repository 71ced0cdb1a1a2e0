package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.Records.Registration;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;

/**
 * Finds the slice that holds a job, which may be of another pool than the one to which the configuration sends the
 * job's queue now. Confined to one event loop.
 *
 * <p>Invariant: a job has no slice only if linearizable reads have found neither a registration of its id nor, as an
 * earlier release registers no ids, the job in any known slice.
 */
final class JobLocator {
    private final SharedStore store;
    private final PoolSlices slices;

    JobLocator(SharedStore store, PoolSlices slices) {
        this.store = store;
        this.slices = slices;
    }

    /** Slice of a job; empty if no such job exists. */
    Future<Either<Failure, Optional<String>>> locate(String jobId) {
        return store.get(StoreKeys.registration(jobId)).compose(found -> {
            Either<Failure, Optional<String>> registered =
                    found.map(item -> item.flatMap(Records::registration).map(Registration::slice));
            return registered.isRight() && registered.get().isEmpty()
                    ? locateUnregistered(jobId)
                    : Future.succeededFuture(registered);
        });
    }

    private Future<Either<Failure, Optional<String>>> locateUnregistered(String jobId) {
        List<String> names = slices.all();
        List<Future<Either<Failure, Optional<Item>>>> reads = names.stream()
                .map(slice -> store.get(StoreKeys.job(slice, jobId)))
                .toList();
        return Future.join(reads).map(all -> Either.sequenceRight(all.<Either<Failure, Optional<Item>>>list())
                .map(items -> names.stream()
                        .filter(slice -> items.get(names.indexOf(slice)).isPresent())
                        .findFirst()));
    }
}
