package io.radishspindle.ownership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Journal of one group as its owner writes it: group commit into a ring of segments, and snapshots. Not
 * thread-safe.
 *
 * <p>Invariants: at most one write is under way; an entry is reported as durable only after the write that holds it
 * is known to have applied; a slot is reused only after a snapshot that covers its segment.
 */
final class Journal {
    /** What became of an entry. */
    enum Outcome {
        DURABLE,
        /** It will never be in the journal. */
        NOT_WRITTEN,
        UNKNOWN
    }

    /** Told once what became of an entry. */
    @FunctionalInterface
    interface Listener {
        void done(Outcome outcome);
    }

    /** A segment that has reached this size is not appended to. */
    private static final int SEGMENT_BYTES = 4 * 1024;

    /** Bound of one commit, so that a backlog after an outage stays far under the store's 1 MB. */
    private static final int MAX_COMMIT_BYTES = 128 * 1024;

    /** Bound of the state, so that the snapshot stays under the store's 1 MB. */
    static final int MAX_STATE_BYTES = 768 * 1024;

    /** Log bytes after which a snapshot is written, so that a new owner reads little. */
    private static final int SNAPSHOT_AFTER_BYTES = 256 * 1024;

    /** Segments after which a snapshot is written; the other slots remain for takeovers, which open one each. */
    private static final int SNAPSHOT_AFTER = 24;

    private record Pending(JournalEntry entry, int bytes, long atMs, Listener listener) {}

    private final Effects fx;
    private final String prefix;
    private final long epoch;
    private final Runnable fenced;
    private final JournalLoader loader;
    private final Deque<Pending> buffer = new ArrayDeque<>();
    private List<Pending> underWay = List.of();
    private List<JournalEntry> current = new ArrayList<>();
    private int currentBytes;
    private @Nullable CertainWrite write;
    private JobTable jobs = new JobTable();
    private long[] versions = new long[JournalLoader.SLOTS];
    private long sequence;
    private long upTo;
    private long snapshotVersion;
    private int stateBytes;
    private int logBytes;
    private boolean open;
    private boolean closed;

    Journal(Effects fx, String prefix, long epoch, Runnable loaded, Runnable fenced) {
        this.fx = fx;
        this.prefix = prefix;
        this.epoch = epoch;
        this.fenced = fenced;
        this.loader = new JournalLoader(fx, prefix, epoch, found -> adopt(found, loaded), this::stopFenced);
    }

    void start() {
        loader.start();
    }

    boolean isOpen() {
        return open;
    }

    /** State as of the last known write. */
    JobTable jobs() {
        return jobs;
    }

    int unjournalled() {
        return buffer.size() + underWay.size();
    }

    /** Whether another job of this size could make the snapshot too large. */
    boolean hasRoomFor(int bytes) {
        return stateBytes + bytes <= MAX_STATE_BYTES;
    }

    void append(JournalEntry entry, Listener listener) {
        if (closed) {
            listener.done(Outcome.NOT_WRITTEN);
            return;
        }
        buffer.add(new Pending(entry, RecordCodec.encode(entry).length, fx.now(), listener));
    }

    void tick() {
        loader.tick();
        CertainWrite current = write;
        if (current != null) {
            current.tick();
        } else if (open && !closed && due()) {
            commit();
        }
    }

    /** Stops. Entries that were never sent are certain not to be written; others are unknown. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        loader.close();
        CertainWrite current = write;
        if (current != null) {
            current.abandon();
        }
        List<Pending> unknown = underWay;
        List<Pending> unsent = List.copyOf(buffer);
        underWay = List.of();
        buffer.clear();
        unknown.forEach(pending -> pending.listener().done(Outcome.UNKNOWN));
        unsent.forEach(pending -> pending.listener().done(Outcome.NOT_WRITTEN));
    }

    private void adopt(JournalLoader.Loaded loaded, Runnable next) {
        jobs = loaded.jobs();
        sequence = loaded.sequence();
        upTo = loaded.upTo();
        versions = loaded.slotVersions();
        snapshotVersion = loaded.snapshotVersion();
        stateBytes = loaded.bytes();
        open = true;
        next.run();
    }

    private boolean due() {
        long now = fx.now();
        for (Pending pending : buffer) {
            long wait = pending.entry().urgent() ? OwnershipTiming.URGENT_COMMIT_MS : OwnershipTiming.FINISH_COMMIT_MS;
            if (now - pending.atMs() >= wait) {
                return true;
            }
        }
        return false;
    }

    private void commit() {
        boolean ringFull = sequence - upTo >= SNAPSHOT_AFTER || logBytes >= SNAPSHOT_AFTER_BYTES;
        if (ringFull && currentBytes >= SEGMENT_BYTES) {
            writeSnapshot();
            return;
        }
        if (currentBytes >= SEGMENT_BYTES) {
            sequence++;
            current = new ArrayList<>();
            currentBytes = 0;
        }
        List<Pending> batch = new ArrayList<>();
        List<JournalEntry> entries = new ArrayList<>(current);
        int bytes = 0;
        while (!buffer.isEmpty() && bytes < MAX_COMMIT_BYTES) {
            Pending next = buffer.remove();
            batch.add(next);
            entries.add(next.entry());
            bytes += next.bytes();
        }
        underWay = batch;
        writeSegment(entries, bytes);
    }

    private void writeSegment(List<JournalEntry> entries, int addedBytes) {
        int slot = (int) (sequence % JournalLoader.SLOTS);
        String changeId = fx.newChangeId();
        byte[] value = RecordCodec.encode(new JournalSegment(epoch, sequence, changeId, entries));
        fx.metrics().journalWrite(value.length);
        write = new CertainWrite(
                        fx,
                        JournalLoader.slotKey(prefix, sequence),
                        value,
                        versions[slot],
                        changeId,
                        found -> RecordCodec.decode(found, JournalSegment.class).changeId(),
                        (outcome, version) -> segmentWritten(outcome, version, slot, entries, addedBytes))
                .start();
    }

    private void segmentWritten(
            CertainWrite.Outcome outcome, long version, int slot, List<JournalEntry> entries, int addedBytes) {
        write = null;
        List<Pending> batch = underWay;
        underWay = List.of();
        if (outcome != CertainWrite.Outcome.APPLIED) {
            boolean certain = outcome == CertainWrite.Outcome.CONFLICT;
            batch.forEach(pending -> pending.listener().done(certain ? Outcome.NOT_WRITTEN : Outcome.UNKNOWN));
            stopFenced();
            return;
        }
        versions[slot] = version;
        current = entries;
        currentBytes += addedBytes;
        stateBytes += addedBytes;
        logBytes += addedBytes;
        batch.forEach(pending -> jobs.apply(pending.entry()));
        batch.forEach(pending -> pending.listener().done(Outcome.DURABLE));
    }

    private void writeSnapshot() {
        String changeId = fx.newChangeId();
        byte[] value = RecordCodec.encode(new JournalSnapshot(epoch, sequence, changeId, jobs.toSnapshot()));
        fx.metrics().journalWrite(value.length);
        write = new CertainWrite(
                        fx,
                        JournalLoader.snapshotKey(prefix),
                        value,
                        snapshotVersion,
                        changeId,
                        found ->
                                RecordCodec.decode(found, JournalSnapshot.class).changeId(),
                        (outcome, version) -> snapshotWritten(outcome, version, value.length))
                .start();
    }

    private void snapshotWritten(CertainWrite.Outcome outcome, long version, int bytes) {
        write = null;
        if (outcome == CertainWrite.Outcome.APPLIED) {
            snapshotVersion = version;
            upTo = sequence;
            stateBytes = bytes;
            logBytes = 0;
            return;
        }
        // A late snapshot of an earlier owner is harmless and only moves the version; a later owner ends this one.
        fx.read(JournalLoader.snapshotKey(prefix), result -> {
            if (closed || result.isLeft()) {
                return;
            }
            if (RecordCodec.decode(result.get().value(), JournalSnapshot.class).epoch() > epoch) {
                stopFenced();
            } else {
                snapshotVersion = result.get().version();
            }
        });
    }

    private void stopFenced() {
        if (!closed) {
            fenced.run();
        }
    }
}
