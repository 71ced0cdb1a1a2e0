package io.radishspindle.pool.prediction;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that drops the least recently used entry when it is full. Not thread-safe.
 *
 * @param <V> type of the values
 */
final class BoundedMap<V> extends LinkedHashMap<String, V> {
    private static final long serialVersionUID = 1L;
    private static final float LOAD_FACTOR = 0.75f;

    private final int maxEntries;

    BoundedMap(int maxEntries) {
        super(16, LOAD_FACTOR, true);
        this.maxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > maxEntries;
    }
}
