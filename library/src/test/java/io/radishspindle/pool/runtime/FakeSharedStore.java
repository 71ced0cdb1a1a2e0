package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;

/** A store in memory that can reject calls or lose them or their answers. Not thread-safe. */
final class FakeSharedStore implements SharedStore {
    /** Fault to inject into a call. */
    enum Fault {
        NONE,
        /** The store rejects the call without executing it. */
        REJECT,
        /** The call is executed, but its answer is lost. */
        LOSE_ANSWER,
        /** The call is lost; its caller can't distinguish this from a lost answer. */
        LOSE_CALL
    }

    final Map<String, Item> items = new TreeMap<>();
    /** Fault of all calls after those in {@link #firstFaults}. */
    Fault fault = Fault.NONE;

    final Deque<Fault> firstFaults = new ArrayDeque<>();
    int calls;
    /** Calls that were lost; running them executes them late. */
    final List<Runnable> lostCalls = new ArrayList<>();

    /** Whether calls hang; they fail when {@link #hanging} is run. */
    boolean hangs;

    /** Whether a watch without changes waits for ever. */
    boolean watchesWait;

    /** Whether a watch waits for ever. */
    boolean watched;

    /** Hanging calls; running them fails them with an unknown outcome. */
    final List<Runnable> hanging = new ArrayList<>();

    /** Runs when a part of an answer arrives. */
    Runnable partListener = () -> {};

    /** Whether transactions are rejected as invalid. */
    boolean rejectsTransactions;

    /** Runs once before the next transaction is executed. */
    Runnable beforeNextTransaction = () -> {};

    private long revision = 10;

    private <T> Future<Either<Failure, T>> withFaults(Supplier<Either<Failure, T>> action) {
        calls++;
        if (hangs) {
            Promise<Either<Failure, T>> answer = Promise.promise();
            hanging.add(() -> answer.complete(Either.left(Failure.outcomeUnknown("store", "store", "no answer"))));
            return answer.future();
        }
        return Future.succeededFuture(
                switch (firstFaults.isEmpty() ? fault : firstFaults.remove()) {
                    case NONE -> action.get();
                    case REJECT ->
                        Either.<Failure, T>left(
                                Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "store", "store", "rejected", 1_000));
                    case LOSE_ANSWER -> {
                        action.get();
                        yield Either.<Failure, T>left(Failure.outcomeUnknown("store", "store", "no answer"));
                    }
                    case LOSE_CALL -> {
                        lostCalls.add(action::get);
                        yield Either.<Failure, T>left(Failure.outcomeUnknown("store", "store", "no answer"));
                    }
                });
    }

    @Override
    public Future<Either<Failure, Boolean>> probe(long timeoutMs) {
        return withFaults(() -> Either.right(true));
    }

    @Override
    public void onPartialAnswer(Runnable listener) {
        partListener = listener;
    }

    @Override
    public Future<Either<Failure, Optional<Item>>> get(String key) {
        return withFaults(() -> Either.right(Optional.ofNullable(items.get(key))));
    }

    @Override
    public Future<Either<Failure, Listing>> list(String prefix) {
        return withFaults(() -> Either.right(new Listing(
                items.values().stream()
                        .filter(item -> item.key().startsWith(prefix))
                        .toList(),
                revision)));
    }

    @Override
    public Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs) {
        if (watchesWait
                && items.values().stream()
                        .noneMatch(item -> item.key().startsWith(prefix) && item.revision() > afterRevision)) {
            watched = true;
            return Promise.<Either<Failure, Listing>>promise().future();
        }
        return withFaults(() -> {
            List<Item> changed = items.values().stream()
                    .filter(item -> item.key().startsWith(prefix) && item.revision() > afterRevision)
                    .toList();
            long at = changed.stream().mapToLong(Item::revision).max().orElse(revision);
            return Either.right(new Listing(changed, Math.max(at, revision)));
        });
    }

    @Override
    public Future<Either<Failure, TxnResult>> transact(Txn txn) {
        return withFaults(() -> {
            if (rejectsTransactions) {
                return Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, "store.transact", "status 403"));
            }
            Runnable change = beforeNextTransaction;
            beforeNextTransaction = () -> {};
            change.run();
            List<Item> current = new ArrayList<>();
            boolean met = true;
            for (Map.Entry<String, Long> expected : txn.expected().entrySet()) {
                Item item = items.getOrDefault(expected.getKey(), new Item(expected.getKey(), null, 0));
                current.add(item);
                met &= item.revision() == expected.getValue();
            }
            if (!met) {
                return Either.right(new TxnResult(false, 0, current));
            }
            revision++;
            txn.writes().forEach(write -> items.put(write.key(), new Item(write.key(), write.value(), revision)));
            txn.removals().forEach(items::remove);
            return Either.right(new TxnResult(true, revision, List.of()));
        });
    }

    @Override
    public Future<Either<Failure, Long>> createLease(long ttlMs) {
        return withFaults(() -> Either.right(7L));
    }

    @Override
    public Future<Either<Failure, Long>> renewLease(long lease) {
        return withFaults(() -> Either.right(2_000L));
    }

    @Override
    public Future<Either<Failure, Long>> endLease(long lease) {
        return withFaults(() -> Either.right(lease));
    }
}
