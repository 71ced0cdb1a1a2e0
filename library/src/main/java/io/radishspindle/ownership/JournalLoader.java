package io.radishspindle.ownership;

import io.radishspindle.platform.Store;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Reads the journal of a group and fences all earlier owners from it. Not thread-safe; used once.
 *
 * <p>An earlier owner has at most one write under way: an append to the newest segment {@code s}, the opening of
 * segment {@code s + 1}, or a snapshot. Rewriting {@code s} and opening {@code s + 1} with the new epoch makes the
 * first two fail. A late snapshot only repeats what the segments say. Every conflict starts the load again.
 */
final class JournalLoader {
    /** Slots of the log ring. */
    static final int SLOTS = 32;

    /** What a load found, after fencing. */
    record Loaded(JobTable jobs, long sequence, long upTo, long[] slotVersions, long snapshotVersion, int bytes) {}

    private final Effects fx;
    private final String prefix;
    private final long epoch;
    private final Consumer<Loaded> done;
    private final Runnable fenced;
    private boolean closed;
    private boolean retry;
    private long retryAtMs;
    private @Nullable CertainWrite write;
    private List<Store.Entry> log = List.of();
    private long[] versions = new long[SLOTS];

    JournalLoader(Effects fx, String prefix, long epoch, Consumer<Loaded> done, Runnable fenced) {
        this.fx = fx;
        this.prefix = prefix;
        this.epoch = epoch;
        this.done = done;
        this.fenced = fenced;
    }

    static String slotKey(String prefix, long sequence) {
        return String.format("%slog/%02d", prefix, sequence % SLOTS);
    }

    static String snapshotKey(String prefix) {
        return prefix + "snapshot";
    }

    void start() {
        // The log is read before the snapshot: a snapshot that is newer than the log hides no segment.
        fx.list(prefix + "log/", result -> {
            if (closed) {
                return;
            }
            if (result.isLeft()) {
                startLater();
                return;
            }
            log = result.get();
            readSnapshot();
        });
    }

    void tick() {
        CertainWrite current = write;
        if (current != null) {
            current.tick();
        }
        if (retry && fx.now() >= retryAtMs) {
            retry = false;
            start();
        }
    }

    void close() {
        closed = true;
        retry = false;
        CertainWrite current = write;
        if (current != null) {
            current.abandon();
        }
    }

    private void startLater() {
        retry = true;
        retryAtMs = fx.now() + OwnershipTiming.RETRY_MS;
    }

    private void readSnapshot() {
        fx.read(snapshotKey(prefix), result -> {
            if (closed) {
                return;
            }
            if (result.isLeft()) {
                startLater();
                return;
            }
            replay(result.get());
        });
    }

    private void replay(Store.Entry stored) {
        JournalSnapshot snapshot = stored.exists()
                ? RecordCodec.decode(stored.value(), JournalSnapshot.class)
                : new JournalSnapshot(0, 0, "", List.of());
        List<JournalSegment> segments = new ArrayList<>();
        versions = new long[SLOTS];
        for (Store.Entry entry : log) {
            JournalSegment segment = RecordCodec.decode(entry.value(), JournalSegment.class);
            versions[(int) (segment.sequence() % SLOTS)] = entry.version();
            segments.add(segment);
        }
        segments.sort(Comparator.comparingLong(JournalSegment::sequence));
        long newest = Math.max(
                snapshot.upTo(),
                segments.isEmpty() ? 0 : segments.get(segments.size() - 1).sequence());
        if (snapshot.epoch() > epoch || segments.stream().anyMatch(segment -> segment.epoch() > epoch)) {
            fenced.run();
            return;
        }
        segments.removeIf(segment -> segment.sequence() <= snapshot.upTo());
        if (segments.size() != newest - snapshot.upTo()) {
            // The log was read while its owner reused a slot.
            startLater();
            return;
        }
        JobTable jobs = JobTable.of(snapshot);
        segments.forEach(segment -> segment.entries().forEach(jobs::apply));
        int bytes = stored.value().length
                + segments.stream()
                        .mapToInt(segment -> RecordCodec.encode(segment).length)
                        .sum();
        Loaded loaded = new Loaded(jobs, newest, snapshot.upTo(), versions, stored.version(), bytes);
        fenceNewest(loaded, segments);
    }

    private void fenceNewest(Loaded loaded, List<JournalSegment> segments) {
        if (segments.isEmpty()) {
            openNext(loaded);
            return;
        }
        JournalSegment newest = segments.get(segments.size() - 1);
        writeSegment(newest.sequence(), newest.entries(), () -> makeRoom(loaded));
    }

    private void makeRoom(Loaded loaded) {
        if (loaded.sequence() + 1 - loaded.upTo() < SLOTS) {
            openNext(loaded);
            return;
        }
        String changeId = fx.newChangeId();
        JournalSnapshot snapshot = new JournalSnapshot(
                epoch, loaded.sequence(), changeId, loaded.jobs().toSnapshot());
        byte[] value = RecordCodec.encode(snapshot);
        fx.metrics().journalWrite(value.length);
        write = new CertainWrite(
                        fx,
                        snapshotKey(prefix),
                        value,
                        loaded.snapshotVersion(),
                        changeId,
                        found ->
                                RecordCodec.decode(found, JournalSnapshot.class).changeId(),
                        (outcome, version) -> {
                            if (outcome != CertainWrite.Outcome.APPLIED) {
                                startLater();
                                return;
                            }
                            openNext(new Loaded(
                                    loaded.jobs(),
                                    loaded.sequence(),
                                    loaded.sequence(),
                                    loaded.slotVersions(),
                                    version,
                                    loaded.bytes()));
                        })
                .start();
    }

    private void openNext(Loaded loaded) {
        long next = loaded.sequence() + 1;
        writeSegment(
                next,
                List.of(),
                () -> done.accept(new Loaded(
                        loaded.jobs(),
                        next,
                        loaded.upTo(),
                        loaded.slotVersions(),
                        loaded.snapshotVersion(),
                        loaded.bytes())));
    }

    private void writeSegment(long sequence, List<JournalEntry> entries, Runnable next) {
        int slot = (int) (sequence % SLOTS);
        String changeId = fx.newChangeId();
        byte[] value = RecordCodec.encode(new JournalSegment(epoch, sequence, changeId, entries));
        fx.metrics().journalWrite(value.length);
        write = new CertainWrite(
                        fx,
                        slotKey(prefix, sequence),
                        value,
                        versions[slot],
                        changeId,
                        found -> RecordCodec.decode(found, JournalSegment.class).changeId(),
                        (outcome, version) -> {
                            if (outcome != CertainWrite.Outcome.APPLIED) {
                                startLater();
                                return;
                            }
                            versions[slot] = version;
                            next.run();
                        })
                .start();
    }
}
