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
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Stores submitted jobs, several in one conditional write. Any VM can do so without the owner of the pool. Confined to
 * one event loop.
 *
 * <p>Invariants: a submission succeeds only after its job is stored; it fails as not run only if no write of it can
 * still take effect; submissions with the same id are the same job, unless they are of two tenants, when the later one
 * fails; a job is stored only while the claim that its item names is in force, so that no earlier owner of the pool
 * learns of it, and every later owner reads it after its claim.
 */
final class JobIntake {
    /** Entries of a transaction that a job takes: a condition and a write. */
    private static final int ENTRIES_PER_JOB = 2;
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
        final long deadlineMs;
        final Promise<Either<Failure, PoolJob>> promise = Promise.promise();
        /** An earlier write of it may still take effect. */
        boolean outcomeUnknown;

        Pending(PoolJob job, long deadlineMs) {
            this.job = job;
            this.deadlineMs = deadlineMs;
            key = StoreKeys.job(job.pool(), job.id());
        }
    }

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final ControlView view;
    private final Consumer<JobStored> onStored;
    private final BooleanSupplier storeUnavailable;
    private final LongSupplier retryAfterMs;
    private final Deque<Pending> waiting = new ArrayDeque<>();
    private int inFlight;
    private boolean scheduled;

    /**
     * @param view the claims on pools; learns of those that have changed
     * @param onStored called with each job that this VM has stored
     * @param storeUnavailable whether the store is known to be unavailable, so that waiting for it is useless
     * @param retryAfterMs retry delay for a rejected caller, in milliseconds
     */
    JobIntake(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            ControlView view,
            Consumer<JobStored> onStored,
            BooleanSupplier storeUnavailable,
            LongSupplier retryAfterMs) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.view = view;
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
            Set<String> keys = new HashSet<>();
            Set<String> pools = new HashSet<>();
            while (!waiting.isEmpty() && fits(waiting.peek(), batch, pools) && keys.add(waiting.peek().key)) {
                pools.add(waiting.peek().job.pool());
                batch.add(waiting.remove());
            }
            write(batch);
        }
    }

    /** Returns whether a transaction has room for another job, whose pool takes a condition of its own. */
    private static boolean fits(Pending next, List<Pending> batch, Set<String> pools) {
        int conditions = pools.size() + (pools.contains(next.job.pool()) ? 0 : 1);
        return ENTRIES_PER_JOB * (batch.size() + 1) + conditions <= SharedStore.MAX_TXN_ENTRIES;
    }

    private void write(List<Pending> batch) {
        Map<String, Long> expected = new HashMap<>();
        List<Write> writes = new ArrayList<>();
        Map<String, Long> claims = new HashMap<>();
        for (Pending pending : batch) {
            String pool = pending.job.pool();
            long claim = claims.computeIfAbsent(pool, view::claim);
            expected.put(StoreKeys.owner(pool), claim);
            expected.put(pending.key, 0L);
            writes.add(new Write(pending.key, Records.encode(pending.job, claim), 0));
        }
        inFlight++;
        store.transact(new Txn(expected, writes, List.of())).onSuccess(result -> {
            inFlight--;
            onWritten(batch, claims, result);
            flush();
        });
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
            Item item = existing.get(pending.key);
            if (item != null && isOfAnotherTenant(item, pending.job)) {
                pending.promise.complete(Either.left(
                        Failure.rejected(ErrorCode.FORBIDDEN, "job.store", "the job belongs to another tenant")));
            } else if (item != null) {
                if (pending.outcomeUnknown && !isEnded(item)) {
                    onStored.accept(new JobStored(pending.job, claimOf(item)));
                }
                pending.promise.complete(Either.right(pending.job));
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

    /** Jobs without a tenant are open to all; see {@link io.radishspindle.pool.model.Caller}. */
    private static boolean isOfAnotherTenant(Item existing, PoolJob job) {
        byte[] value = existing.value();
        String tenant = job.tenant();
        return value != null
                && tenant != null
                && Records.tenantOfJob(existing.key(), value)
                        .filter(other -> !other.equals(tenant))
                        .isPresent();
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
