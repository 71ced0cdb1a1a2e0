package io.radishspindle.pool.runtime;

import io.radishspindle.pool.port.SharedStore.Item;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The newest configuration that this VM has read, and the time as of which the store is known to have had nothing
 * newer. Confined to one event loop.
 *
 * <p>Invariants: neither the revision nor the time ever decreases, and the time is never later than the moment at which
 * the store looked, wherever the knowledge came from.
 */
final class ConfigKnowledge {
    /** Time of the knowledge while there is none; far enough from the limits of the type to calculate with it. */
    static final long NEVER_MS = Long.MIN_VALUE / 2;

    private final List<Runnable> listeners = new ArrayList<>();
    private @Nullable Item latest;
    private byte @Nullable [] compressed;
    private long knownAtMs = NEVER_MS;

    /** @param listener called after every change of the revision or the time */
    void onChange(Runnable listener) {
        listeners.add(listener);
    }

    Optional<Item> latest() {
        return Optional.ofNullable(latest);
    }

    /** Revision of the configuration; 0 if there is none. */
    long revision() {
        Item item = latest;
        return item == null ? 0 : item.revision();
    }

    /** Time on the monotonic clock as of which the store had nothing newer; {@link #NEVER_MS} without configuration. */
    long knownAtMs() {
        return knownAtMs;
    }

    /** The value as it crosses between VMs, compressed once for each revision. */
    byte[] compressed() {
        byte[] value = compressed;
        if (value == null) {
            value = latest().map(Item::value).map(CompressedConfig::compress).orElseGet(() -> new byte[0]);
            compressed = value;
        }
        return value;
    }

    /** The store had nothing newer than this VM's configuration at a time on the monotonic clock. */
    void onUnchanged(long asOfMs) {
        if (latest != null && asOfMs > knownAtMs) {
            knownAtMs = asOfMs;
            List.copyOf(listeners).forEach(Runnable::run);
        }
    }

    /**
     * A configuration that was the store's newest at a time on the monotonic clock.
     *
     * @return whether it is newer than this VM's
     */
    boolean onRead(Item item, long asOfMs) {
        boolean newer = item.exists() && item.revision() > revision();
        if (newer) {
            latest = item;
            compressed = null;
        }
        if (latest != null) {
            knownAtMs = Math.max(knownAtMs, asOfMs);
            List.copyOf(listeners).forEach(Runnable::run);
        }
        return newer;
    }
}
