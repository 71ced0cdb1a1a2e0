package io.radishspindle.settings;

import io.radishspindle.settings.EntrySettings.Seed;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Turns the text of a setting into its value. Throws {@link SettingsException}; stateless and thread-safe. */
final class ValueParser {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9][A-Za-z0-9.-]*|\\[[0-9A-Fa-f:]+]");
    private static final Pattern WITH_UNIT = Pattern.compile("([0-9]+)\\s*([A-Za-z]+)");
    private static final Pattern SEED = Pattern.compile("([^@=]+)@([^@=]+)=(.+)");
    private static final Map<String, Long> DURATION_UNITS =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L);
    private static final Map<String, Long> SIZE_UNITS = Map.of("B", 1L, "KiB", 1024L, "MiB", 1024L * 1024);

    /** A host with a TCP port. */
    record Address(String host, int port) {}

    private ValueParser() {}

    static Object parse(Setting setting, String text) {
        return switch (setting.kind()) {
            case NAME -> matching(NAME, text, "a name of letters, digits, '-', '_' and '.'");
            case HOST -> matching(HOST, text, "a host");
            case PORT -> (int) inRange(setting, wholeNumber(text), text);
            case ADDRESS -> address(text);
            case SECRET -> secret(setting, text);
            case DURATION -> inRange(setting, withUnit(text, DURATION_UNITS, "ms, s, m or h, for example 250ms"), text);
            case SIZE -> (int) inRange(setting, withUnit(text, SIZE_UNITS, "B, KiB or MiB, for example 512KiB"), text);
            case COUNT -> (int) inRange(setting, wholeNumber(text), text);
            case RATIO -> ratio(setting, text);
            case SEEDS -> list(text).stream().map(ValueParser::seed).toList();
            case REGIONS -> list(text).stream().map(ValueParser::region).toList();
        };
    }

    private static String matching(Pattern pattern, String text, String expected) {
        if (!pattern.matcher(text).matches()) {
            throw new SettingsException("'" + text + "' is not " + expected);
        }
        return text;
    }

    private static String secret(Setting setting, String text) {
        if (text.length() < setting.min() || text.length() > setting.max()) {
            throw new SettingsException("has " + text.length() + " characters; it needs " + (long) setting.min()
                    + " to " + (long) setting.max());
        }
        return text;
    }

    private static long wholeNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new SettingsException("'" + text + "' is not a whole number", e);
        }
    }

    private static long withUnit(String text, Map<String, Long> units, String expected) {
        Matcher matcher = WITH_UNIT.matcher(text);
        Long factor = matcher.matches() ? units.get(matcher.group(2)) : null;
        if (factor == null) {
            throw new SettingsException("'" + text + "' needs a whole number with a unit of " + expected);
        }
        try {
            return Math.multiplyExact(wholeNumber(matcher.group(1)), factor);
        } catch (ArithmeticException e) {
            throw new SettingsException("'" + text + "' is too large", e);
        }
    }

    private static long inRange(Setting setting, long value, String text) {
        if (value < setting.min() || value > setting.max()) {
            throw new SettingsException("'" + text + "' is out of range; " + SettingsReference.range(setting));
        }
        return value;
    }

    private static double ratio(Setting setting, String text) {
        double value;
        try {
            value = Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw new SettingsException("'" + text + "' is not a number", e);
        }
        if (!(value >= setting.min() && value <= setting.max())) {
            throw new SettingsException("'" + text + "' is out of range; " + SettingsReference.range(setting));
        }
        return value;
    }

    private static Address address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new SettingsException("'" + text + "' is not host:port");
        }
        String host = matching(HOST, text.substring(0, colon), "a host");
        long port = wholeNumber(text.substring(colon + 1));
        if (port < 1 || port > 65_535) {
            throw new SettingsException("port " + port + " is out of range; 1 to 65535");
        }
        return new Address(host, (int) port);
    }

    private static Seed seed(String text) {
        Matcher matcher = SEED.matcher(text);
        if (!matcher.matches()) {
            throw new SettingsException("'" + text + "' is not id@data-centre=host:port");
        }
        Address address = address(matcher.group(3));
        String id = matching(NAME, matcher.group(1), "an id");
        return new Seed(id, matching(NAME, matcher.group(2), "a data centre"), address.host(), address.port());
    }

    private static String region(String text) {
        int colon = text.indexOf(':');
        if (colon < 1) {
            throw new SettingsException("'" + text + "' is not data-centre:region");
        }
        matching(NAME, text.substring(0, colon), "a data centre");
        matching(NAME, text.substring(colon + 1), "a region");
        return text;
    }

    private static List<String> list(String text) {
        if (text.isBlank()) {
            return List.of();
        }
        return Arrays.stream(text.split(",", -1)).map(String::strip).toList();
    }
}
