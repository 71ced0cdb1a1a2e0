package io.radishspindle.settings;

import org.jspecify.annotations.Nullable;

/**
 * One key of the settings file. Immutable and thread-safe.
 *
 * @param defaultText value in force when the key is missing; null if the key is required
 * @param min lowest value, in the unit of {@code kind}
 * @param max highest value, in the unit of {@code kind}
 * @param description one sentence for the settings reference
 */
record Setting(
        String section,
        String key,
        Kind kind,
        @Nullable String defaultText,
        double min,
        double max,
        String description) {

    /** Syntax of a value. */
    enum Kind {
        NAME("name of letters, digits, `-`, `_` and `.`"),
        HOST("host"),
        PORT("TCP port"),
        ADDRESS("host:port"),
        SECRET("text"),
        DURATION("duration with unit ms, s, m or h"),
        SIZE("size with unit B, KiB or MiB"),
        COUNT("whole number"),
        RATIO("number"),
        SEEDS("list of id@data-centre=host:port, separated by commas"),
        REGIONS("list of data-centre:region, separated by commas");

        private final String syntax;

        Kind(String syntax) {
            this.syntax = syntax;
        }

        String syntax() {
            return syntax;
        }
    }

    String name() {
        return "[" + section + "] " + key;
    }
}
