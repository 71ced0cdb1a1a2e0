package io.radishspindle.pool.tenant;

import java.util.HashMap;
import java.util.Map;

/**
 * What the owner of a slice knows of the stored shares, and what its writes with an unknown outcome may have left. Not
 * thread-safe.
 *
 * <p>Invariant: a share counts as usable only if neither a write under way nor one with an unknown outcome can have
 * reduced it. Such a write is conditional on the revision known when it was sent, so that it can't be applied any more
 * once a later revision has been read.
 */
final class SliceShares {
    private final String slice;
    private QuotaShares known = QuotaShares.EMPTY;
    private long revision;
    private boolean confirmed;
    private boolean readable = true;
    /** By tenant, the lowest share that an unresolved write may leave. */
    private final Map<String, Share> unresolved = new HashMap<>();

    SliceShares(String slice) {
        this.slice = slice;
    }

    QuotaShares known() {
        return known;
    }

    long revision() {
        return revision;
    }

    /** Whether the shares have been read since the claim, so that no earlier owner can still change them. */
    boolean isConfirmed() {
        return confirmed;
    }

    boolean isReadable() {
        return readable;
    }

    void confirm() {
        confirmed = true;
    }

    /** Applies the shares of a revision; returns false if a later one is known. */
    boolean onRead(QuotaShares shares, long atRevision) {
        if (atRevision <= revision) {
            return false;
        }
        accept(shares, atRevision, true);
        return true;
    }

    /** The item of a revision can't be decoded: no share is usable until it is replaced or removed. */
    void onUnreadable(long atRevision) {
        if (atRevision > revision) {
            accept(QuotaShares.EMPTY, atRevision, false);
        }
    }

    /** The item has been removed. */
    void onRemoved() {
        accept(QuotaShares.EMPTY, 0, true);
    }

    private void accept(QuotaShares shares, long atRevision, boolean canBeRead) {
        known = shares;
        revision = atRevision;
        readable = canBeRead;
        unresolved.clear();
    }

    /** A write, conditional on the known revision, is about to be sent. */
    void onWriting(QuotaShares next) {
        for (String tenant : known.tenants().keySet()) {
            unresolved.merge(tenant, next.share(tenant, slice), Share::min);
        }
    }

    boolean hasUnresolvedWrites() {
        return !unresolved.isEmpty();
    }

    Share usable(String tenant) {
        if (!confirmed) {
            return Share.NONE;
        }
        Share share = known.share(tenant, slice);
        Share lowest = unresolved.get(tenant);
        return lowest == null ? share : share.min(lowest);
    }
}
