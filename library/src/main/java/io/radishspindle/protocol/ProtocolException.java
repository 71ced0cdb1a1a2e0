package io.radishspindle.protocol;

/** Thrown for bytes of a peer that violate the protocol; the connection is then closed. Immutable and thread-safe. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }

    ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
