package io.radishspindle.protocol;

/** Bytes of a peer that break the protocol; the connection is closed. Immutable and thread-safe. */
final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProtocolException(String message) {
        super(message);
    }

    ProtocolException(String message, Throwable cause) {
        super(message, cause);
    }
}
