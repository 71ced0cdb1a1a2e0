package io.radishspindle.config;

import io.radishspindle.config.FleetException.Scope;

/** A change that an operator asks for. Immutable and thread-safe. */
public sealed interface ConfigChange {
    /** Revision that the operator saw when deciding on the change. */
    long basedOn();

    /** Who asks for the change. */
    String actor();

    /** Why, in the operator's words; must not be empty. */
    String reason();

    /** Sets a default for the whole fleet. */
    record SetDefault(long basedOn, String actor, String reason, String key, String value) implements ConfigChange {}

    /** Adds an exception that ends at {@code endsAtMs}, in milliseconds since the Unix epoch. */
    record AddException(
            long basedOn,
            String actor,
            String reason,
            String key,
            String value,
            Scope scope,
            String target,
            long endsAtMs)
            implements ConfigChange {}

    /** Ends an exception before its time. */
    record EndException(long basedOn, String actor, String reason, String id) implements ConfigChange {}
}
