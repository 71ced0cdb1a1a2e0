package io.radishspindle.placement.internal;

import java.util.LinkedHashMap;
import java.util.Map;

/** Bounded cache of families; evicts the least recently used one. Not thread-safe. */
final class Families {
    private static final int MAX_FAMILIES = 10_000;

    private final Map<String, Family> byName = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Family> eldest) {
            return size() > MAX_FAMILIES;
        }
    };

    Family of(String name) {
        return byName.computeIfAbsent(name, Family::new);
    }
}
