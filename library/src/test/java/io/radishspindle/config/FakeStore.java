package io.radishspindle.config;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.Store.Changes;
import io.radishspindle.platform.Store.Entry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** A store in virtual time whose calls can be slow, lost or refused. */
final class FakeStore {
    private static final long CALL_TIMEOUT_MS = 1_000;

    /** A watch that waits. */
    private record Waiting(String vm, String key, long afterRevision, Consumer<Either<Failure, Changes>> answer) {}

    private final VirtualTime time;
    private final Map<String, Entry> entries = new TreeMap<>();
    private final List<Waiting> watches = new ArrayList<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Set<String> deadWatches = new HashSet<>();
    private long revision;
    private boolean up = true;
    private long oneWayMs = 1;
    private long nextReadAnswerDelayMs;
    private long nextWriteDelayMs;
    private boolean loseNextWriteAnswer;
    private int calls;

    FakeStore(VirtualTime time) {
        this.time = time;
    }

    void setUp(boolean nowUp) {
        up = nowUp;
        if (!nowUp) {
            List.copyOf(watches).forEach(w -> w.answer().accept(Either.left(unavailable())));
            watches.clear();
        }
    }

    void setReachable(String vm, boolean reachable) {
        if (reachable) {
            unreachable.remove(vm);
        } else {
            unreachable.add(vm);
        }
    }

    /** Watches of a VM are accepted and never answered, as after a broken connection that nobody has noticed. */
    void killWatchesOf(String vm) {
        deadWatches.add(vm);
        watches.removeIf(w -> w.vm().equals(vm));
    }

    void delayNextReadAnswer(long delayMs) {
        nextReadAnswerDelayMs = delayMs;
    }

    /** The next write reaches the store only after this time. */
    void delayNextWrite(long delayMs) {
        nextWriteDelayMs = delayMs;
    }

    void loseNextWriteAnswer() {
        loseNextWriteAnswer = true;
    }

    void setOneWayMs(long ms) {
        oneWayMs = ms;
    }

    void loseContents() {
        entries.clear();
    }

    int calls() {
        return calls;
    }

    FleetConfig document() {
        Entry entry = entries.get(ConfigCore.KEY);
        return entry == null
                ? FleetConfig.BUILT_IN
                : ConfigCodec.decode(entry.value()).orElseThrow();
    }

    List<AuditEntry> allAudit() {
        List<AuditEntry> all = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (key.startsWith(AuditBlocks.KEY_PREFIX)) {
                all.addAll(ConfigCodec.decodeAudit(entry.value()));
            }
        });
        all.addAll(document().audit());
        return all;
    }

    private boolean serves(String vm) {
        return up && !unreachable.contains(vm);
    }

    private static Failure unavailable() {
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "store", "store", "store is down", 100);
    }

    void get(String vm, String key, Consumer<Either<Failure, Entry>> answer) {
        calls++;
        long answerDelayMs = oneWayMs + nextReadAnswerDelayMs;
        nextReadAnswerDelayMs = 0;
        time.after(oneWayMs, () -> {
            Either<Failure, Entry> result = serves(vm)
                    ? Either.right(entries.getOrDefault(key, new Entry(key, new byte[0], Store.ABSENT, revision)))
                    : Either.left(unavailable());
            Either<Failure, Entry> stamped = result.map(e -> new Entry(e.key(), e.value(), e.version(), revision));
            time.after(answerDelayMs, () -> answer.accept(stamped));
        });
    }

    void put(String vm, String key, byte[] value, long expected, Consumer<Either<Failure, Long>> answer) {
        calls++;
        long delayMs = oneWayMs + nextWriteDelayMs;
        boolean loses = loseNextWriteAnswer;
        nextWriteDelayMs = 0;
        loseNextWriteAnswer = false;
        boolean reachable = serves(vm);
        if (loses || (reachable && delayMs > CALL_TIMEOUT_MS)) {
            Failure lost = Failure.outcomeUnknown("store.put", "store", "no answer");
            time.after(CALL_TIMEOUT_MS, () -> answer.accept(Either.left(lost)));
            time.after(delayMs, () -> write(key, value, expected));
            return;
        }
        time.after(delayMs, () -> {
            Either<Failure, Long> result = serves(vm) ? write(key, value, expected) : Either.left(unavailable());
            time.after(oneWayMs, () -> answer.accept(result));
        });
    }

    private Either<Failure, Long> write(String key, byte[] value, long expected) {
        Entry before = entries.get(key);
        long version = before == null ? Store.ABSENT : before.version();
        if (version != expected) {
            return Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.put", "version is " + version));
        }
        revision++;
        Entry after = new Entry(key, value, version + 1, revision);
        entries.put(key, after);
        for (Waiting w : List.copyOf(watches)) {
            if (key.startsWith(w.key())) {
                watches.remove(w);
                if (!serves(w.vm())) {
                    continue; // The answer is lost with the connection.
                }
                time.after(
                        oneWayMs, () -> w.answer().accept(Either.right(new Changes(List.of(after), after.revision()))));
            }
        }
        return Either.right(version + 1);
    }

    void watch(String vm, String key, long after, long waitMs, Consumer<Either<Failure, Changes>> answer) {
        calls++;
        if (deadWatches.contains(vm)) {
            return;
        }
        time.after(oneWayMs, () -> {
            if (!serves(vm)) {
                time.after(oneWayMs, () -> answer.accept(Either.left(unavailable())));
                return;
            }
            List<Entry> newer = entries.values().stream()
                    .filter(e -> e.key().startsWith(key) && e.revision() > after)
                    .toList();
            if (!newer.isEmpty()) {
                long now = revision;
                time.after(oneWayMs, () -> answer.accept(Either.right(new Changes(newer, now))));
                return;
            }
            Waiting waiting = new Waiting(vm, key, after, answer);
            watches.add(waiting);
            time.after(waitMs, () -> {
                if (watches.remove(waiting) && serves(vm)) {
                    answer.accept(Either.right(new Changes(List.of(), revision)));
                }
            });
        });
    }
}
