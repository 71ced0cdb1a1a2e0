package io.radishspindle.config;

import io.radishspindle.config.FleetException.Scope;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** A value that operators may change, with its type, built-in default and the scopes of its exceptions. */
public enum ConfigKey {
    TEAM_QUOTA_CORES("team-quota-cores", Type.COUNT, "256", 0, 10_000_000, Scope.TEAM),
    TEAM_QUOTA_MEMORY("team-quota-memory-gib", Type.COUNT, "1024", 0, 10_000_000, Scope.TEAM),
    TEAM_QUOTA_ACCELERATORS("team-quota-accelerators", Type.COUNT, "64", 0, 1_000_000, Scope.TEAM),
    MAX_QUEUED_TASKS("max-queued-tasks", Type.COUNT, "20000", 1, 1_000_000, Scope.DATA_CENTRE),
    PREEMPT_FOR_URGENT("preempt-for-urgent", Type.FLAG, "true", 0, 1, Scope.DATA_CENTRE),
    RETRY_BUDGET("retry-budget", Type.RATIO, "0.1", 0, 1, Scope.SERVICE),
    MAX_QUEUED_PER_SERVICE("max-queued-per-service", Type.COUNT, "1000", 1, 1_000_000, Scope.SERVICE),
    MAX_QUEUED_PER_CALLER("max-queued-per-caller", Type.COUNT, "200", 1, 1_000_000, Scope.SERVICE),
    ACCEPT_WORK("accept-work", Type.FLAG, "true", 0, 1, Scope.WORKER, Scope.DATA_CENTRE);

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,15}");
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

    /** Syntax of a value. */
    private enum Type {
        COUNT,
        RATIO,
        FLAG
    }

    private final String text;
    private final Type type;
    private final String builtIn;
    private final double min;
    private final double max;

    @SuppressWarnings("ImmutableEnumChecker") // Set.copyOf gives a set that can't be modified.
    private final Set<Scope> scopes;

    ConfigKey(String text, Type type, String builtIn, double min, double max, Scope first, Scope... more) {
        this.text = text;
        this.type = type;
        this.builtIn = builtIn;
        this.min = min;
        this.max = max;
        scopes = Set.copyOf(EnumSet.of(first, more));
    }

    /** Name as operators write it. */
    public String text() {
        return text;
    }

    /** Value in force when no operator has set one. */
    public String builtIn() {
        return builtIn;
    }

    /** For whom an exception may change this value. */
    public Set<Scope> scopes() {
        return scopes;
    }

    public static Optional<ConfigKey> find(String text) {
        return Arrays.stream(values()).filter(key -> key.text.equals(text)).findFirst();
    }

    /** The fault of a value in one sentence; empty if the value is valid. */
    Optional<String> check(String value) {
        boolean valid =
                switch (type) {
                    case COUNT -> WHOLE_NUMBER.matcher(value).matches() && inRange(value);
                    case RATIO -> DECIMAL.matcher(value).matches() && inRange(value);
                    case FLAG -> value.equals("true") || value.equals("false");
                };
        return valid ? Optional.empty() : Optional.of(text + " must be " + expected() + ", not '" + value + "'");
    }

    private boolean inRange(String value) {
        double number = Double.parseDouble(value);
        return number >= min && number <= max;
    }

    /** Describes valid values, for help and errors. */
    public String expected() {
        return switch (type) {
            case COUNT -> "a whole number from " + (long) min + " to " + (long) max;
            case RATIO -> "a number from " + min + " to " + max;
            case FLAG -> "true or false";
        };
    }
}
