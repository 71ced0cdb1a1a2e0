package io.radishspindle.settings;

import java.util.Locale;
import java.util.stream.Collectors;

/** Prints the settings reference from the schema. Stateless and thread-safe. */
public final class SettingsReference {
    private static final long MS_PER_SECOND = 1_000;
    private static final long MS_PER_HOUR = 3_600_000;

    private SettingsReference() {}

    /** A Markdown table of all settings, one line each. */
    public static String markdown() {
        return "| section | key | value | default | range | meaning |\n| --- | --- | --- | --- | --- | --- |\n"
                + SettingsSchema.SETTINGS.stream().map(SettingsReference::line).collect(Collectors.joining());
    }

    private static String line(Setting s) {
        String defaultText = s.defaultText();
        String shown = defaultText == null ? "required" : defaultText.isEmpty() ? "empty" : "`" + defaultText + "`";
        return String.format(
                Locale.ROOT,
                "| `%s` | `%s` | %s | %s | %s | %s |%n",
                s.section(),
                s.key(),
                s.kind().syntax(),
                shown,
                range(s),
                s.description());
    }

    /** The limits of a setting with their unit; empty if it has none. */
    static String range(Setting s) {
        return switch (s.kind()) {
            case PORT, COUNT -> (long) s.min() + " to " + (long) s.max();
            case RATIO -> String.format(Locale.ROOT, "%.1f to %.1f", s.min(), s.max());
            case DURATION -> duration((long) s.min()) + " to " + duration((long) s.max());
            case SIZE -> (long) s.min() + "B to " + (long) s.max() + "B";
            case SECRET -> (long) s.min() + " to " + (long) s.max() + " characters";
            case NAME, HOST, ADDRESS, SEEDS, REGIONS -> "";
        };
    }

    private static String duration(long ms) {
        if (ms >= MS_PER_HOUR && ms % MS_PER_HOUR == 0) {
            return ms / MS_PER_HOUR + "h";
        }
        return ms >= MS_PER_SECOND ? ms / MS_PER_SECOND + "s" : ms + "ms";
    }
}
