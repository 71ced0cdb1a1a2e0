package io.radishspindle.protocol;

import io.radishspindle.error.Failure;

/**
 * One frame of the internal protocol, on the wire {@code [version, type, body]}. Immutable by convention; the array
 * is not copied.
 *
 * @param version protocol version of the sender
 * @param type code of {@link MessageTypes} or one of the constants below
 * @param body MessagePack of {@link Hello}, {@link Proof}, {@link Accepted}, {@link Refusal}, {@link Ping} or {@link
 *     Envelope}
 */
record Frame(int version, int type, byte[] body) {
    /** Versions differ when frames can't be understood; new messages and trailing fields need no new version. */
    static final int VERSION = 1;

    /** Answer to a request whose handler failed; the message is a {@link Refusal}. */
    static final int FAILED = 0;

    static final int HELLO = 1001;
    static final int PROOF = 1002;
    static final int ACCEPTED = 1003;
    static final int FAILURE = 1004;
    static final int PING = 1005;
    static final int PONG = 1006;

    /** First frame of the accepting side. */
    record Hello(String vm, byte[] nonce) {}

    /** Answer of the connecting side, with its own challenge. */
    record Proof(String vm, byte[] nonce, byte[] code) {}

    /** Last frame of the handshake, from the accepting side. */
    record Accepted(byte[] code) {}

    /**
     * A message with its request id.
     *
     * @param id 0 for a message without an answer, positive for a request, the negated id for its answer
     */
    record Envelope(long id, byte[] message) {}

    /** Checks that a connection still works; answered by the same record. */
    record Ping(long sequence) {}

    /** Failure of a remote handler, or the reason why the peer closes the connection. */
    record Refusal(Failure failure) {}
}
