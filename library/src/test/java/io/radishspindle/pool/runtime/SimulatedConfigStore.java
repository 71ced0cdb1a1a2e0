package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * The store with the configuration only. Its replies to VMs of other regions share one link, and VMs give calls up
 * after a time limit. A watch returns every version since its revision, as the platform documents. Not thread-safe.
 */
final class SimulatedConfigStore {
    private static final long LATENCY_MS = 2;
    private static final long CALL_TIMEOUT_MS = 1_200;
    private static final long WATCH_MARGIN_MS = 600;
    /** Versions that the history keeps. */
    private static final int HISTORY = 60;

    private final SimulatedTime time;
    private final SharedLink link;
    private final String key;
    private final List<SharedStore.Item> versions = new ArrayList<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long revision = 100;

    SimulatedConfigStore(SimulatedTime time, SharedLink link, String key) {
        this.time = time;
        this.link = link;
        this.key = key;
    }

    long put(byte[] value) {
        revision++;
        versions.add(new SharedStore.Item(key, value, revision));
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
        return revision;
    }

    /** Client of one VM. */
    SharedStore client(boolean distant, BooleanSupplier isAlive) {
        return new Client(distant, isAlive);
    }

    private SharedStore.Item latest() {
        return versions.get(versions.size() - 1);
    }

    private final class Client implements SharedStore {
        private final boolean distant;
        private final BooleanSupplier isAlive;

        private Client(boolean distant, BooleanSupplier isAlive) {
            this.distant = distant;
            this.isAlive = isAlive;
        }

        /** A call in progress. */
        private final class Call<T> {
            private final Promise<Either<Failure, T>> promise = Promise.promise();
            private SharedLink.@Nullable Transfer transfer;

            private Call(long timeoutMs) {
                time.after(timeoutMs, () -> {
                    if (promise.tryComplete(Either.left(new Failure(
                                    ErrorCode.STORE_UNAVAILABLE, "store", "store", "no reply in time", false, 1_000)))
                            && transfer != null) {
                        transfer.giveUp();
                    }
                });
            }

            private void reply(long valueBytes, T result) {
                // Values cross as base64 text.
                long bytes = valueBytes * 4 / 3 + 200;
                Runnable arrive = () -> {
                    if (isAlive.getAsBoolean()) {
                        promise.tryComplete(Either.right(result));
                    }
                };
                if (promise.future().isComplete() || !isAlive.getAsBoolean()) {
                    return;
                }
                if (distant) {
                    transfer = link.transfer(bytes, arrive);
                } else {
                    time.after(LATENCY_MS + bytes / 25_000, arrive);
                }
            }

            private boolean isOpen() {
                return !promise.future().isComplete();
            }
        }

        @Override
        public void onPartialAnswer(Runnable listener) {
            // Answers arrive whole.
        }

        private <T> Future<Either<Failure, T>> call(Supplier<T> action, Supplier<Long> bytes) {
            Call<T> call = new Call<>(CALL_TIMEOUT_MS);
            time.after(LATENCY_MS, () -> call.reply(bytes.get(), action.get()));
            return call.promise.future();
        }

        @Override
        public Future<Either<Failure, Listing>> list(String prefix) {
            return call(() -> new Listing(List.of(latest()), revision), () -> size(List.of(latest())));
        }

        private static long size(List<Item> items) {
            return items.stream()
                    .mapToLong(item -> item.value() == null ? 0 : item.value().length)
                    .sum();
        }

        @Override
        public Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs) {
            Call<Listing> call = new Call<>(waitMs + WATCH_MARGIN_MS);
            boolean[] over = new boolean[1];
            time.after(LATENCY_MS, () -> check(call, afterRevision, over));
            time.after(LATENCY_MS + waitMs, () -> {
                over[0] = true;
                check(call, afterRevision, over);
            });
            return call.promise.future();
        }

        private void check(Call<Listing> call, long afterRevision, boolean[] over) {
            if (!call.isOpen() || call.transfer != null) {
                return;
            }
            List<Item> events = versions.stream()
                    .filter(item -> item.revision() > afterRevision)
                    .toList();
            if (versions.size() > HISTORY
                    && afterRevision < versions.get(versions.size() - HISTORY).revision()) {
                call.promise.tryComplete(
                        Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.watch", "history lost")));
            } else if (!events.isEmpty() || over[0]) {
                call.reply(size(events), new Listing(events, revision));
            } else {
                waiting.add(() -> check(call, afterRevision, over));
            }
        }

        @Override
        public Future<Either<Failure, TxnResult>> transact(Txn txn) {
            boolean met = txn.expected().getOrDefault(key, 0L) == latest().revision();
            return call(
                    () -> met ? new TxnResult(true, revision, List.of()) : new TxnResult(false, 0, List.of(latest())),
                    () -> met ? 0 : size(List.of(latest())));
        }

        @Override
        public Future<Either<Failure, Boolean>> probe(long timeoutMs) {
            throw new UnsupportedOperationException("probe");
        }

        @Override
        public Future<Either<Failure, Optional<Item>>> get(String wanted) {
            throw new UnsupportedOperationException("get");
        }

        @Override
        public Future<Either<Failure, Long>> createLease(long ttlMs) {
            throw new UnsupportedOperationException("createLease");
        }

        @Override
        public Future<Either<Failure, Long>> renewLease(long lease) {
            throw new UnsupportedOperationException("renewLease");
        }

        @Override
        public Future<Either<Failure, Long>> endLease(long lease) {
            throw new UnsupportedOperationException("endLease");
        }
    }
}
