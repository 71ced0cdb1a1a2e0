package io.radishspindle.routing;

import java.util.Locale;
import java.util.Optional;

/** Classes of requests with the share of slots that each gets while all of them wait. Immutable. */
public enum RequestClass {
    INTERACTIVE(8),
    NORMAL(3),
    BULK(1);

    private final int weight;

    RequestClass(int weight) {
        this.weight = weight;
    }

    public int weight() {
        return weight;
    }

    /** The class named by the header {@code Request-Class}, in any case; empty if there is no such class. */
    public static Optional<RequestClass> parse(String name) {
        String upper = name.strip().toUpperCase(Locale.ROOT);
        for (RequestClass requestClass : values()) {
            if (requestClass.name().equals(upper)) {
                return Optional.of(requestClass);
            }
        }
        return Optional.empty();
    }

    /** The name as it appears in headers, messages and metrics. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
