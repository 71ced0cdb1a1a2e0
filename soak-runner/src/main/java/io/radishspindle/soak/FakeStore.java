package io.radishspindle.soak;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The store with its faults. Not thread-safe. */
final class FakeStore extends Node {
    /** How the store behaves. */
    enum Condition {
        GOOD,
        OUT,
        SLOW,
        /** Half of the answers are lost after the call took effect, and some calls take effect late. */
        LOSES_ANSWERS
    }

    private record Value(byte[] bytes, long version) {}

    private final TreeMap<String, Value> values = new TreeMap<>();
    private final Set<Mechanism> off;
    private Condition condition = Condition.GOOD;
    private long revision;
    private long writes;

    FakeStore(Simulation sim, Set<Mechanism> off) {
        super("store", sim);
        this.off = off;
    }

    void setCondition(Condition next) {
        condition = next;
        sim.note("store " + next);
    }

    long writes() {
        return writes;
    }

    void get(String key, Consumer<Either<Failure, Store.Entry>> answer) {
        serve(() -> Either.right(entry(key)), answer);
    }

    void list(String prefix, Consumer<Either<Failure, List<Store.Entry>>> answer) {
        serve(
                () -> Either.right(values.tailMap(prefix).keySet().stream()
                        .takeWhile(key -> key.startsWith(prefix))
                        .map(this::entry)
                        .toList()),
                answer);
    }

    void put(String key, byte[] value, long expected, Consumer<Either<Failure, Long>> answer) {
        serve(() -> write(key, value, expected), answer);
    }

    private <R> void serve(Supplier<Either<Failure, R>> operation, Consumer<Either<Failure, R>> answer) {
        switch (condition) {
            case GOOD -> answer.accept(operation.get());
            case OUT -> {
                if (sim.chance(0.5)) {
                    answer.accept(Either.left(
                            Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "store", id, "store is out", 0)));
                }
            }
            case SLOW -> sim.after(sim.between(50, 3_000), () -> answer.accept(operation.get()));
            case LOSES_ANSWERS ->
                sim.after(sim.chance(0.3) ? sim.between(500, 6_000) : 1, () -> {
                    Either<Failure, R> result = operation.get();
                    if (sim.chance(0.5)) {
                        answer.accept(result);
                    }
                });
        }
    }

    private Store.Entry entry(String key) {
        Value value = values.get(key);
        return value == null
                ? new Store.Entry(key, new byte[0], Store.ABSENT, revision)
                : new Store.Entry(key, value.bytes(), value.version(), revision);
    }

    private Either<Failure, Long> write(String key, byte[] bytes, long expected) {
        Value old = values.get(key);
        long version = old == null ? Store.ABSENT : old.version();
        boolean checked = !(off.contains(Mechanism.JOURNAL_FENCING) && key.contains("/log/"));
        if (checked && version != expected) {
            return Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.put", key + " has version " + version));
        }
        writes++;
        revision++;
        values.put(key, new Value(bytes, version + 1));
        return Either.right(version + 1);
    }
}
