package io.radishspindle.protocol;

import io.radishspindle.error.Failure;

/**
 * One frame of the internal protocol, on the wire {@code [version, type, body]}. Immutable by convention; the array
 * is not copied.
 *
 * @param version protocol version of the sender
 * @param type code of {@link MessageTypes} or one of the constants below
 * @param body MessagePack of {@link Hello}, {@link Proof}, {@link Accepted}, {@link FailureReport}, {@link Ping} or
 *     {@link Envelope}
 */
record Frame(int version, int type, byte[] body) {
    /** Changes only if older VMs can't decode the frames; new messages and trailing fields need no new version. */
    static final int VERSION = 1;

    /** Reply to a request whose handler failed; the message is a {@link FailureReport}. */
    static final int REQUEST_FAILED = 0;

    static final int HELLO = 1001;
    static final int PROOF = 1002;
    static final int ACCEPTED = 1003;
    /** Sent before a connection is closed; the body is a {@link FailureReport} with the reason. */
    static final int CONNECTION_REJECTED = 1004;

    static final int PING = 1005;
    static final int PONG = 1006;

    /** First frame of the accepting side. */
    record Hello(String vm, byte[] nonce) {}

    /** Reply of the connecting side: its own nonce and its authentication code. */
    record Proof(String vm, byte[] nonce, byte[] code) {}

    /** Last frame of the handshake: the authentication code of the accepting side. */
    record Accepted(byte[] code) {}

    /**
     * A message with its request id.
     *
     * @param id 0 for a one-way message, positive for a request, the negated request id for its reply
     */
    record Envelope(long id, byte[] message) {}

    /** Checks that a connection still works; the peer replies with the same record. */
    record Ping(long sequence) {}

    /** Failure of a remote handler, or the reason for which the peer closes the connection. */
    record FailureReport(Failure failure) {}
}
