package io.radishspindle.config;

/**
 * A value that differs from the default for one team, service, worker or data centre until an end time. Immutable and
 * thread-safe.
 *
 * @param id {@code x} and the revision that added it
 * @param key name of a {@link ConfigKey}
 * @param target name of the team, service, worker or data centre
 * @param createdAtMs wall-clock time in milliseconds since the Unix epoch
 * @param endsAtMs wall-clock time from which the default is in force again
 */
public record FleetException(
        String id,
        String key,
        String value,
        Scope scope,
        String target,
        String reason,
        String actor,
        long createdAtMs,
        long endsAtMs) {

    /** For whom an exception holds. */
    public enum Scope {
        TEAM,
        SERVICE,
        WORKER,
        DATA_CENTRE
    }

    public boolean isActiveAt(long wallMs) {
        return wallMs < endsAtMs;
    }

    boolean concerns(String otherKey, Scope otherScope, String otherTarget) {
        return key.equals(otherKey) && scope == otherScope && target.equals(otherTarget);
    }
}
