package io.radishspindle.ingress;

import java.util.Locale;

/** A limit that a caller can meet; the names appear in log lines and metrics. Immutable. */
enum IngressLimit {
    /** Sum of the memory that callers occupy. */
    MEMORY,
    /** Connections of a port. */
    CONNECTIONS,
    /** Time from the first byte of a request to the end of its header. */
    HEADER_TIME,
    /** Time of a body. */
    BODY_TIME,
    /** Size of a body. */
    BODY_SIZE,
    /** Time in which a response has to be read. */
    RESPONSE_TIME,
    /** Time in which the rest of a refused body is discarded. */
    DISCARD_TIME,
    /** Time without a request. */
    IDLE_TIME;

    /** Name in log lines and metrics, for example {@code body-size}. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
