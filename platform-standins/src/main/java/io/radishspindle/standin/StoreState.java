package io.radishspindle.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Contents of the store. Not thread-safe.
 *
 * <p>Invariants: every change raises the revision by one. A key's version is 1 after its creation and rises by one
 * with each write. Deletions are remembered, so that a watch which resumes later still sees them.
 */
final class StoreState {
    /** The largest value that is accepted. */
    static final int MAX_VALUE_BYTES = 1024 * 1024;

    /**
     * A value, or the trace of a deleted one.
     *
     * @param value null after a deletion
     * @param version 0 after a deletion
     * @param leaseId 0 if the key is not bound to a lease
     */
    record Slot(byte @Nullable [] value, long version, long revision, long leaseId) {
        boolean exists() {
            return value != null;
        }
    }

    /** Why a write was not applied. */
    enum Problem {
        CONFLICT,
        TOO_LARGE,
        NO_LEASE
    }

    /** Result of a write; {@code problem} is empty if it was applied. */
    record WriteResult(Optional<Problem> problem, long version, long revision) {}

    private final TreeMap<String, Slot> slots = new TreeMap<>();
    private final Map<Long, Long> leaseEndsAtMs = new TreeMap<>();
    private long revision;
    private long lastLeaseId;

    long revision() {
        return revision;
    }

    Slot get(String key) {
        return slots.getOrDefault(key, new Slot(null, 0, 0, 0));
    }

    /** Writes a key; {@code leaseId} 0 binds it to no lease. */
    WriteResult put(String key, byte[] value, long expectedVersion, long leaseId) {
        Slot slot = get(key);
        if (value.length > MAX_VALUE_BYTES) {
            return problem(Problem.TOO_LARGE, slot);
        }
        if (slot.version() != expectedVersion) {
            return problem(Problem.CONFLICT, slot);
        }
        if (leaseId != 0 && !leaseEndsAtMs.containsKey(leaseId)) {
            return problem(Problem.NO_LEASE, slot);
        }
        revision++;
        slots.put(key, new Slot(value, slot.version() + 1, revision, leaseId));
        return new WriteResult(Optional.empty(), slot.version() + 1, revision);
    }

    WriteResult delete(String key, long expectedVersion) {
        Slot slot = get(key);
        if (slot.version() != expectedVersion || !slot.exists()) {
            return problem(Problem.CONFLICT, slot);
        }
        remove(key);
        return new WriteResult(Optional.empty(), 0, revision);
    }

    /** Existing keys that start with the prefix, in order. */
    List<Map.Entry<String, Slot>> list(String prefix) {
        return changesAfter(prefix, -1).stream()
                .filter(entry -> entry.getValue().exists())
                .toList();
    }

    /** Keys under the prefix that were written or deleted after the revision, in order. */
    List<Map.Entry<String, Slot>> changesAfter(String prefix, long afterRevision) {
        List<Map.Entry<String, Slot>> found = new ArrayList<>();
        for (Map.Entry<String, Slot> entry : slots.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getValue().revision() > afterRevision) {
                found.add(Map.entry(entry.getKey(), entry.getValue()));
            }
        }
        return found;
    }

    long grantLease(long nowMs, long ttlMs) {
        lastLeaseId++;
        leaseEndsAtMs.put(lastLeaseId, nowMs + ttlMs);
        return lastLeaseId;
    }

    /** Extends a lease; false if it has expired or never existed. */
    boolean renewLease(long nowMs, long leaseId, long ttlMs) {
        expireLeases(nowMs);
        return leaseEndsAtMs.computeIfPresent(leaseId, (id, endsAt) -> nowMs + ttlMs) != null;
    }

    /** Ends a lease and deletes its keys; false if it has expired or never existed. */
    boolean revokeLease(long leaseId) {
        if (leaseEndsAtMs.remove(leaseId) == null) {
            return false;
        }
        keysOf(leaseId).forEach(this::remove);
        return true;
    }

    /** Ends all leases whose time has passed. */
    void expireLeases(long nowMs) {
        List<Long> expired = leaseEndsAtMs.entrySet().stream()
                .filter(lease -> lease.getValue() <= nowMs)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::revokeLease);
    }

    private List<String> keysOf(long leaseId) {
        return slots.entrySet().stream()
                .filter(entry -> entry.getValue().leaseId() == leaseId)
                .map(Map.Entry::getKey)
                .toList();
    }

    private void remove(String key) {
        revision++;
        slots.put(key, new Slot(null, 0, revision, 0));
    }

    private WriteResult problem(Problem problem, Slot slot) {
        return new WriteResult(Optional.of(problem), slot.version(), revision);
    }
}
