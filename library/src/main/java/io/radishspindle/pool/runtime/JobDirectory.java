package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.model.Caller;
import io.radishspindle.pool.model.CancelOutcome;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.JobSummary;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.CancelStored;
import io.radishspindle.protocol.message.PoolMessages.PendingJobs;
import io.radishspindle.protocol.message.PoolMessages.PoolJobState;
import io.radishspindle.protocol.message.PoolMessages.QueryPending;
import io.radishspindle.protocol.message.PoolMessages.QueryPoolJob;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queries and cancels jobs. Queries go to the owner of the pool, and to the store if the owner does not know. Confined
 * to one event loop.
 *
 * <p>Invariants: a job is reported as unknown only after a linearizable read has not found it; a number of pending jobs
 * is given only while it is current, whoever counted them and however the owner was lost.
 */
final class JobDirectory {
    /** Timeout of a query to the owner, in milliseconds; the store is read afterwards. */
    private static final long OWNER_TIMEOUT_MS = 500;

    private static final long RETRY_AFTER_MS = 1_000;
    private static final byte[] CANCELLED = {1};
    /** Each change of a job's item fails one attempt to cancel the job; an item changes twice at most. */
    private static final int MAX_CANCEL_ATTEMPTS = 3;

    private final Clock clock;
    private final SharedStore store;
    private final JobLocator locator;
    private final PeerMessenger messenger;
    private final ControlView view;
    private final NodeIdentity self;
    private final Map<String, PoolOwner> owned;
    /** Last answers of owners, by pool and queue. */
    private final Map<String, PendingCount> lastPending = new HashMap<>();

    JobDirectory(
            Clock clock,
            SharedStore store,
            JobLocator locator,
            PeerMessenger messenger,
            ControlView view,
            NodeIdentity self,
            Map<String, PoolOwner> owned) {
        this.clock = clock;
        this.store = store;
        this.locator = locator;
        this.messenger = messenger;
        this.view = view;
        this.self = self;
        this.owned = owned;
    }

    /**
     * Phase and tenant of a job; empty if no such job exists.
     *
     * @param likelySlice slice that a new job with this id would have, whose owner is asked first
     */
    Future<Either<Failure, Optional<JobSummary>>> summary(String likelySlice, String jobId) {
        return summaryFromOwner(likelySlice, jobId)
                .compose(reported -> reported.isPresent()
                        ? Future.succeededFuture(Either.right(reported))
                        : locator.locate(jobId).compose(found -> summaryIn(found, likelySlice, jobId)));
    }

    /** Phase and tenant of a job whose queue is sent to a pool without slices; empty if no such job exists. */
    Future<Either<Failure, Optional<JobSummary>>> summary(String jobId) {
        return locator.locate(jobId).compose(found -> summaryIn(found, "", jobId));
    }

    private Future<Either<Failure, Optional<JobSummary>>> summaryIn(
            Either<Failure, Optional<String>> found, String askedSlice, String jobId) {
        if (found.isLeft() || found.get().isEmpty()) {
            return Future.succeededFuture(found.map(none -> Optional.empty()));
        }
        String slice = found.get().get();
        if (slice.equals(askedSlice)) {
            return summaryFromStore(slice, jobId);
        }
        return summaryFromOwner(slice, jobId)
                .compose(reported -> reported.isPresent()
                        ? Future.succeededFuture(Either.right(reported))
                        : summaryFromStore(slice, jobId));
    }

    /** Empty if the slice has no owner that answers, or if the owner does not know the job. */
    private Future<Optional<JobSummary>> summaryFromOwner(String slice, String jobId) {
        PoolOwner local = owned.get(slice);
        if (local != null) {
            return Future.succeededFuture(local.currentSummary(jobId));
        }
        return remoteOwner(slice)
                .map(vm -> messenger
                        .request(vm, new QueryPoolJob(slice, jobId), PoolJobState.class, OWNER_TIMEOUT_MS)
                        .map(reply -> reply.toJavaOptional().flatMap(JobDirectory::summaryOf)))
                .orElseGet(() -> Future.succeededFuture(Optional.empty()));
    }

    /** Empty if the owner does not know, or sends a phase that only another release has. */
    private static Optional<JobSummary> summaryOf(PoolJobState state) {
        return Arrays.stream(JobPhase.values())
                .filter(phase -> phase.name().equals(state.phase()))
                .findFirst()
                .map(phase -> new JobSummary(phase, state.tenant()));
    }

    private Optional<String> remoteOwner(String pool) {
        return view.owner(pool).map(o -> o.owner().vmId()).filter(vm -> !vm.equals(self.vmId()));
    }

    private Future<Either<Failure, Optional<JobSummary>>> summaryFromStore(String pool, String jobId) {
        return Future.join(
                        store.get(StoreKeys.progress(pool, jobId)),
                        store.get(StoreKeys.cancellation(pool, jobId)),
                        store.get(StoreKeys.job(pool, jobId)))
                .map(all -> {
                    Either<Failure, Optional<Item>> progress = all.resultAt(0);
                    Either<Failure, Optional<Item>> cancel = all.resultAt(1);
                    Either<Failure, Optional<Item>> job = all.resultAt(2);
                    return progress.flatMap(p -> cancel.flatMap(c -> job.map(found -> found.map(item -> new JobSummary(
                            phaseOf(p, c.isPresent()), tenantOf(item).orElse(null))))));
                });
    }

    private static JobPhase phaseOf(Optional<Item> progress, boolean cancelled) {
        Optional<JobPhase> saved = progress.flatMap(item -> {
            byte[] value = item.value();
            return value == null
                    ? Optional.empty()
                    : Records.decode(item.key(), value, JobProgress.class)
                            .map(JobProgress::phase)
                            .toJavaOptional();
        });
        if (saved.isPresent() && saved.get().isFinal()) {
            return saved.get();
        }
        return cancelled ? JobPhase.CANCELLED : saved.orElse(JobPhase.QUEUED);
    }

    /**
     * Number of jobs of a queue without a started task, from the owner or else from its last answer if it is current.
     *
     * @param queue name of the queue, for jobs that an earlier release has stored without an address
     */
    Future<Either<Failure, Integer>> pending(String pool, String queue, String address) {
        String key = pool + "/" + address;
        PoolOwner local = owned.get(pool);
        if (local != null) {
            local.pending(queue, address).ifPresent(counted -> lastPending.put(key, counted));
            return Future.succeededFuture(currentPending(key, queue));
        }
        Optional<String> owner = remoteOwner(pool);
        if (owner.isEmpty()) {
            return Future.succeededFuture(currentPending(key, queue));
        }
        long sentAtMs = clock.nowMs();
        return messenger
                .request(owner.get(), new QueryPending(pool, queue, address), PendingJobs.class, OWNER_TIMEOUT_MS)
                .map(reply -> {
                    reply.toJavaOptional()
                            .flatMap(pending -> PendingCount.received(pending, sentAtMs))
                            .ifPresent(pending -> lastPending.put(key, pending));
                    return currentPending(key, queue);
                });
    }

    private Either<Failure, Integer> currentPending(String key, String queue) {
        return Optional.ofNullable(lastPending.get(key))
                .filter(pending -> pending.isCurrent(clock.nowMs()))
                .map(pending -> Either.<Failure, Integer>right(pending.count()))
                .orElseGet(() -> Either.left(Failure.retryable(
                        ErrorCode.NO_OWNER,
                        "queue.pending",
                        queue,
                        "no current number from the owner of the pool",
                        RETRY_AFTER_MS)));
    }

    /** Cancels a job if the caller may access it. The cancellation is durable when this succeeds. */
    Future<Either<Failure, CancelOutcome>> cancel(String jobId, Caller caller) {
        return locator.locate(jobId).compose(found -> {
            if (found.isLeft()) {
                return Future.succeededFuture(Either.left(found.getLeft()));
            }
            return found.get()
                    .map(slice -> cancel(slice, jobId, caller, 1))
                    .orElseGet(() -> Future.succeededFuture(Either.right(CancelOutcome.UNKNOWN_JOB)));
        });
    }

    private Future<Either<Failure, CancelOutcome>> cancel(String pool, String jobId, Caller caller, int attempt) {
        return store.get(StoreKeys.job(pool, jobId)).compose(found -> {
            if (found.isLeft()) {
                return Future.succeededFuture(Either.left(found.getLeft()));
            }
            if (found.get().isEmpty()) {
                return Future.succeededFuture(Either.right(CancelOutcome.UNKNOWN_JOB));
            }
            Item job = found.get().get();
            String tenant = tenantOf(job).orElse(null);
            if (!caller.mayAccess(tenant)) {
                return Future.succeededFuture(Either.right(CancelOutcome.FORBIDDEN));
            }
            byte[] cancelledJob = Records.encode(new Records.EndedJob(JobPhase.CANCELLED, tenant, clock.wallMs()));
            Txn txn = new Txn(
                    Map.of(job.key(), job.revision()),
                    List.of(
                            new SharedStore.Write(StoreKeys.cancellation(pool, jobId), CANCELLED, 0),
                            new SharedStore.Write(job.key(), cancelledJob, 0)),
                    List.of());
            return store.transact(txn).compose(result -> {
                if (result.isRight() && result.get().applied()) {
                    notifyOwner(pool, jobId);
                } else if (result.isRight() && attempt < MAX_CANCEL_ATTEMPTS) {
                    // The job has ended or was cancelled since it was read.
                    return cancel(pool, jobId, caller, attempt + 1);
                }
                return Future.succeededFuture(
                        result.map(done -> done.applied() ? CancelOutcome.STORED : CancelOutcome.UNKNOWN_JOB));
            });
        });
    }

    private static Optional<String> tenantOf(Item job) {
        byte[] value = job.value();
        return value == null ? Optional.empty() : Records.tenantOfJob(job.key(), value);
    }

    private void notifyOwner(String pool, String jobId) {
        PoolOwner local = owned.get(pool);
        if (local != null) {
            local.onCancelStored(jobId);
        } else {
            remoteOwner(pool).ifPresent(vm -> messenger.send(vm, new CancelStored(pool, jobId)));
        }
    }
}
