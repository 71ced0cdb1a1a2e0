package io.radishspindle.standin;

/**
 * One line of an endpoint's own record. Immutable and thread-safe.
 *
 * @param requestId value of the header Request-Id; empty if the request had none
 * @param atMs wall-clock time in milliseconds
 */
public record EndpointEvent(Kind kind, String endpoint, String requestId, String method, String path, long atMs) {
    /** What happened. */
    public enum Kind {
        /** A request took a slot. */
        START,
        /** The request has been run; its answer is about to be sent. */
        END,
        /** A request was refused without running. */
        REFUSED
    }
}
