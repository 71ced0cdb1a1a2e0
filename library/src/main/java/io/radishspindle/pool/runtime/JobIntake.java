package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.Records.QueueSlice;
import io.radishspindle.pool.runtime.Records.Registration;
import io.radishspindle.protocol.message.PoolMessages.JobStored;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.stream.Stream;

/**
 * Stores submitted jobs, several in one conditional write. Any VM can do so without the owner of the pool. Confined to
 * one event loop.
 *
 * <p>Invariants: a submission succeeds only after its job is stored; it fails as not run only if no write of it can
 * still take effect; a job is stored together with the registration of its id, which is conditional on the absence of
 * one, so that an id has one job whichever pool the configuration of a VM names; submissions with the same id are the
 * same job, unless they are of two tenants, or of queues in two pools, when the later one fails; a job is stored only
 * while the claim that its item names is in force, so that no earlier owner of the pool learns of it, and every later
 * owner reads it after its claim.
 */
final class JobIntake {
    /** Writes of a transaction that a job takes: the job and its registration. */
    private static final int WRITES_PER_JOB = 2;
    /**
     * Slices that are checked for a job of an earlier release, which has no registration. They take conditions of the
     * transaction; with more slices, an upgrade and a move of a queue must not coincide.
     */
    private static final int MAX_CHECKED_SLICES = 8;
    /** Transactions in flight at once; more than one, so that a slow call doesn't block all submissions. */
    private static final int MAX_IN_FLIGHT = 3;
    /** Delay before a write with an unknown outcome is retried, in milliseconds. */
    private static final long RETRY_DELAY_MS = 60;

    /** Submissions that may wait for the store; more are rejected at once. */
    private static final int MAX_WAITING = 400;

    /** A submission without an outcome. */
    private static final class Pending {
        final PoolJob job;
        final String key;
        final String registration;
        final long deadlineMs;
        final Promise<Either<Failure, PoolJob>> promise = Promise.promise();
        /** An earlier write of it may still take effect. */
        boolean outcomeUnknown;

        Pending(PoolJob job, long deadlineMs) {
            this.job = job;
            this.deadlineMs = deadlineMs;
            key = StoreKeys.job(job.pool(), job.id());
            registration = StoreKeys.registration(job.id());
        }
    }

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final ControlView view;
    private final PoolSlices slices;
    private final Consumer<JobStored> onStored;
    private final BooleanSupplier storeUnavailable;
    private final LongSupplier retryAfterMs;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private int inFlight;
    private boolean scheduled;

    /**
     * @param view the claims on pools; learns of those that have changed
     * @param slices the slices that may hold jobs of an earlier release
     * @param onStored called with each job that this VM has stored
     * @param storeUnavailable whether the store is known to be unavailable, so that waiting for it is useless
     * @param retryAfterMs retry delay for a rejected caller, in milliseconds
     */
    JobIntake(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            ControlView view,
            PoolSlices slices,
            Consumer<JobStored> onStored,
            BooleanSupplier storeUnavailable,
            LongSupplier retryAfterMs) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.view = view;
        this.slices = slices;
        this.onStored = onStored;
        this.storeUnavailable = storeUnavailable;
        this.retryAfterMs = retryAfterMs;
    }

    /**
     * Stores a job. A failure with {@code notRun} false means that the outcome is unknown: the deadline has passed or
     * the store is unavailable.
     */
    Future<Either<Failure, PoolJob>> submit(PoolJob job, long deadlineMs) {
        if (waiting.size() >= MAX_WAITING) {
            return Future.succeededFuture(Either.left(rejection("too many submissions wait for the store")));
        }
        Pending pending = new Pending(job, deadlineMs);
        waiting.add(pending);
        schedule();
        return pending.promise.future();
    }

    int waiting() {
        return waiting.size();
    }

    private void schedule() {
        if (!scheduled) {
            scheduled = true;
            vertx.runOnContext(ignored -> {
                scheduled = false;
                flush();
            });
        }
    }

    private void flush() {
        while (!waiting.isEmpty() && inFlight < MAX_IN_FLIGHT) {
            List<Pending> batch = new ArrayList<>();
            Set<String> ids = new HashSet<>();
            while (!waiting.isEmpty()
                    && fits(waiting.peek(), batch)
                    && ids.add(waiting.peek().job.id())) {
                batch.add(waiting.remove());
            }
            write(batch);
        }
    }

    /** Returns whether a transaction has room for another job. */
    private boolean fits(Pending next, List<Pending> batch) {
        List<Pending> all = new ArrayList<>(batch);
        all.add(next);
        long claims = all.stream().map(pending -> pending.job.pool()).distinct().count();
        int jobs = all.stream()
                .mapToInt(pending -> conditions(pending).size() + WRITES_PER_JOB)
                .sum();
        return claims + jobs + newQueueSlices(all).size() <= SharedStore.MAX_TXN_ENTRIES;
    }

    /** Keys that must not exist: the registration, and the job in any slice, where an earlier release stores it. */
    private List<String> conditions(Pending pending) {
        String id = pending.job.id();
        Stream<String> others = slices.all().stream()
                .limit(MAX_CHECKED_SLICES)
                .map(slice -> StoreKeys.job(slice, id))
                .filter(key -> !key.equals(pending.key));
        return Stream.concat(Stream.of(pending.registration, pending.key), others)
                .toList();
    }

    private void write(List<Pending> batch) {
        Map<String, Long> expected = new HashMap<>();
        List<Write> writes = new ArrayList<>();
        Map<String, Long> claims = new HashMap<>();
        for (Pending pending : batch) {
            String pool = pending.job.pool();
            long claim = claims.computeIfAbsent(pool, view::claim);
            expected.put(StoreKeys.owner(pool), claim);
            conditions(pending).forEach(key -> expected.put(key, 0L));
            writes.add(new Write(pending.key, Records.encode(pending.job, claim), 0));
            writes.add(new Write(pending.registration, Records.encode(Registration.of(pending.job)), 0));
        }
        List<Write> newSlices = newQueueSlices(batch).entrySet().stream()
                .map(slice -> new Write(slice.getKey(), Records.encode(new QueueSlice(slice.getValue())), 0))
                .toList();
        writes.addAll(newSlices);
        inFlight++;
        store.transact(new Txn(expected, writes, List.of())).onSuccess(result -> {
            inFlight--;
            if (result.isRight() && result.get().applied()) {
                long revision = result.get().revision();
                newSlices.forEach(write -> view.onChanged(new Item(write.key(), write.value(), revision)));
            }
            onWritten(batch, claims, result);
            flush();
        });
    }

    /** Address of the queue by the key that marks a slice which has had no job of the queue. */
    private Map<String, String> newQueueSlices(List<Pending> batch) {
        Map<String, String> addresses = new HashMap<>();
        for (Pending pending : batch) {
            String address = pending.job.address();
            String slice = pending.job.pool();
            if (address != null && !view.slicesOfQueue(address).contains(slice)) {
                addresses.put(StoreKeys.queueSlice(address, slice), address);
            }
        }
        return addresses;
    }

    private void onWritten(List<Pending> batch, Map<String, Long> claims, Either<Failure, TxnResult> result) {
        if (result.isLeft()) {
            batch.forEach(pending -> onFailed(pending, result.getLeft()));
        } else if (result.get().applied()) {
            batch.forEach(pending -> {
                onStored.accept(new JobStored(pending.job, claims.getOrDefault(pending.job.pool(), 0L)));
                pending.promise.complete(Either.right(pending.job));
            });
        } else {
            onConflict(batch, result.get());
        }
    }

    /**
     * Some ids exist already, or a pool has another owner: the submissions of existing ids succeed as the same jobs;
     * the others are written again.
     */
    private void onConflict(List<Pending> batch, TxnResult result) {
        result.current().stream().filter(item -> StoreKeys.isOwner(item.key())).forEach(view::onChanged);
        Map<String, Item> existing = new HashMap<>();
        result.current().stream().filter(Item::exists).forEach(item -> existing.put(item.key(), item));
        for (Pending pending : batch) {
            Optional<Registration> registered = registrationOf(pending, existing);
            if (registered.isPresent()) {
                Either<Failure, PoolJob> outcome = repeated(pending.job, registered.get());
                Item item = existing.get(pending.key);
                if (outcome.isRight() && item != null && pending.outcomeUnknown && !isEnded(item)) {
                    onStored.accept(new JobStored(pending.job, claimOf(item)));
                }
                pending.promise.complete(outcome);
            } else if (clock.nowMs() < pending.deadlineMs) {
                waiting.addFirst(pending);
            } else {
                onFailed(pending, rejection("the owner of the pool keeps changing"));
            }
        }
    }

    private static boolean isEnded(Item job) {
        byte[] value = job.value();
        return value != null && Records.isEndedJob(value);
    }

    /** The claim under which a job was stored, which may be an earlier one than the claim in force. */
    private static long claimOf(Item job) {
        byte[] value = job.value();
        return value == null ? 0 : Records.claimOfJob(job.key(), value);
    }

    /** Who has the id of a submission: its registration, or else what a job of an earlier release tells. */
    private Optional<Registration> registrationOf(Pending pending, Map<String, Item> existing) {
        Optional<Registration> registered =
                Optional.ofNullable(existing.get(pending.registration)).flatMap(Records::registration);
        return registered.isPresent()
                ? registered
                : conditions(pending).stream()
                        .flatMap(key -> Optional.ofNullable(existing.get(key)).stream())
                        .findFirst()
                        .map(item -> new Registration("", null, tenantOf(item).orElse(null)));
    }

    private static Optional<String> tenantOf(Item job) {
        byte[] value = job.value();
        return value == null || StoreKeys.isRegistration(job.key())
                ? Optional.empty()
                : Records.tenantOfJob(job.key(), value);
    }

    /**
     * Outcome of a submission whose id is taken. Jobs without a tenant are open to all; see {@link
     * io.radishspindle.pool.model.Caller}.
     */
    private static Either<Failure, PoolJob> repeated(PoolJob job, Registration registered) {
        if (job.tenant() != null
                && registered.tenant() != null
                && !registered.tenant().equals(job.tenant())) {
            return Either.left(Failure.rejected(ErrorCode.FORBIDDEN, "job.store", "the job belongs to another tenant"));
        }
        if (isOfAnotherQueue(job, registered)) {
            return Either.left(
                    Failure.rejected(ErrorCode.CONFLICT, "job.store", "a job of another queue has the id " + job.id()));
        }
        return Either.right(job);
    }

    /** The queues of one pool share their ids; a queue that has moved keeps its address. */
    private static boolean isOfAnotherQueue(PoolJob job, Registration registered) {
        return job.address() != null
                && registered.address() != null
                && !registered.address().equals(job.address())
                && !registered.slice().equals(job.pool());
    }

    private void onFailed(Pending pending, Failure failure) {
        pending.outcomeUnknown |= !failure.notRun();
        if (!pending.outcomeUnknown) {
            pending.promise.complete(Either.left(rejection(failure.message())));
        } else if (clock.nowMs() >= pending.deadlineMs || storeUnavailable.getAsBoolean()) {
            // The caller retries the request at another VM, which resolves the outcome.
            pending.promise.complete(Either.left(
                    Failure.outcomeUnknown("job.store", failure.peer(), "outcome unknown: " + failure.message())));
        } else {
            vertx.setTimer(RETRY_DELAY_MS, ignored -> {
                waiting.add(pending);
                schedule();
            });
        }
    }

    private Failure rejection(String reason) {
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "job.store", "store", reason, retryAfterMs.getAsLong());
    }
}
