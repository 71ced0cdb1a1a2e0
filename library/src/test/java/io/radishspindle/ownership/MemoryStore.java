package io.radishspindle.ownership;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Carries out the store actions of {@link Effects} at once. Not thread-safe. */
final class MemoryStore {
    private record Value(byte[] bytes, long version) {}

    private final TreeMap<String, Value> values = new TreeMap<>();
    /** Next writes whose answers are lost after they took effect. */
    int losesAnswers;
    /** Next writes that are held back; see {@link #applyHeld}. */
    boolean holdsWrites;

    int writes;
    private final Map<Long, OwnershipAction.WriteKey> held = new HashMap<>();

    void serve(Effects fx) {
        List<OwnershipAction> actions = fx.drain();
        while (!actions.isEmpty()) {
            actions.forEach(action -> perform(fx, action));
            actions = fx.drain();
        }
    }

    /** Applies the held writes late; nobody hears of the results. */
    int applyHeld() {
        int applied = 0;
        for (OwnershipAction.WriteKey write : held.values()) {
            applied += put(write).isRight() ? 1 : 0;
        }
        held.clear();
        return applied;
    }

    private void perform(Effects fx, OwnershipAction action) {
        if (action instanceof OwnershipAction.ReadKey read) {
            fx.completeRead(read.call(), Either.right(entry(read.key())));
        } else if (action instanceof OwnershipAction.ListKeys list) {
            fx.completeList(
                    list.call(),
                    Either.right(values.keySet().stream()
                            .filter(key -> key.startsWith(list.prefix()))
                            .map(this::entry)
                            .toList()));
        } else if (action instanceof OwnershipAction.WriteKey write) {
            write(fx, write);
        }
    }

    private void write(Effects fx, OwnershipAction.WriteKey write) {
        if (holdsWrites) {
            held.put(write.call(), write);
            return;
        }
        Either<Failure, Long> result = put(write);
        if (losesAnswers > 0) {
            losesAnswers--;
            result = Either.left(Failure.outcomeUnknown("store.put", "store", "answer lost"));
        }
        fx.completeWrite(write.call(), result);
    }

    private Either<Failure, Long> put(OwnershipAction.WriteKey write) {
        long version = entry(write.key()).version();
        if (version != write.expectedVersion()) {
            return Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.put", "version " + version));
        }
        writes++;
        values.put(write.key(), new Value(write.value(), version + 1));
        return Either.right(version + 1);
    }

    private Store.Entry entry(String key) {
        Value value = values.get(key);
        return value == null
                ? new Store.Entry(key, new byte[0], Store.ABSENT, 0)
                : new Store.Entry(key, value.bytes(), value.version(), 0);
    }
}
