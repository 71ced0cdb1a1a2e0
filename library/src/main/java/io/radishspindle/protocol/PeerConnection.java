package io.radishspindle.protocol;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.protocol.Frame.Envelope;
import io.radishspindle.protocol.PeerAuthenticator.Challenge;
import io.radishspindle.protocol.PeerAuthenticator.Role;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One TCP connection to another entry VM, from the handshake until it is closed. Confined to one event loop.
 *
 * <p>Invariant: no message is sent or accepted before both sides have proved that they know the shared key.
 */
final class PeerConnection {
    /** A connection whose handshake is not complete after this time is closed. */
    private static final long HANDSHAKE_TIMEOUT_MS = 2_000;
    /** Writes beyond this backlog fail, so that a slow peer can't exhaust the heap. */
    private static final int WRITE_QUEUE_BYTES = 4 * PeerCodec.MAX_FRAME_BYTES;

    /** Time without received frames after which a connection is pinged; after twice this time it is closed. */
    private static final long PING_AFTER_MS = 5_000;

    /** Receives the events of a connection. */
    interface Listener {
        void onReady(PeerConnection connection);

        void onMessage(PeerConnection connection, int type, Envelope envelope);

        /** Called once, also if the connection never became ready. */
        void onClosed(PeerConnection connection, String reason);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final NetSocket socket;
    private final PeerAuthenticator authenticator;
    private final String localVm;
    private final Role role;
    private final Listener listener;
    private final FrameReader reader;
    private final byte[] nonce;
    private final long handshakeTimer;
    private String remoteVm;
    private @Nullable Challenge challenge;
    private boolean ready;
    private long lastReceivedAtMs;
    private long pingSequence;
    private boolean closed;
    private String closeReason = "connection closed by peer";

    /** @param remoteVm the VM that is expected at the other end; empty on the accepting side */
    PeerConnection(
            Vertx vertx,
            Clock clock,
            NetSocket socket,
            PeerAuthenticator authenticator,
            String localVm,
            String remoteVm,
            Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.socket = socket;
        this.authenticator = authenticator;
        this.localVm = localVm;
        this.remoteVm = remoteVm;
        this.listener = listener;
        role = remoteVm.isEmpty() ? Role.ACCEPTING : Role.CONNECTING;
        nonce = authenticator.newNonce();
        lastReceivedAtMs = clock.nowMs();
        reader = new FrameReader(socket, this::onFrame, this::onProtocolError);
        socket.setWriteQueueMaxSize(WRITE_QUEUE_BYTES);
        socket.exceptionHandler(e -> closeReason = "connection broken: " + e.getMessage());
        socket.closeHandler(ignored -> onClosed());
        handshakeTimer = vertx.setTimer(HANDSHAKE_TIMEOUT_MS, ignored -> close("handshake timed out"));
        if (role == Role.ACCEPTING) {
            write(PeerCodec.encodeFrame(Frame.HELLO, new Frame.Hello(localVm, nonce)));
        }
    }

    String remoteVm() {
        return remoteVm;
    }

    String address() {
        return String.valueOf(socket.remoteAddress());
    }

    /** Writes a frame; false without a write if the connection is closed or the peer reads too slowly. */
    boolean write(Buffer frame) {
        if (closed || socket.writeQueueFull()) {
            return false;
        }
        socket.write(frame);
        return true;
    }

    /** Sends the reason to the peer and closes the connection. */
    void reject(ErrorCode code, String reason) {
        Failure failure = new Failure(code, "peer.connect", localVm, reason, true, 0);
        write(PeerCodec.encodeFrame(Frame.CONNECTION_REJECTED, new Frame.FailureReport(failure)));
        close(reason);
    }

    void close(String reason) {
        if (!closed) {
            closeReason = reason;
            socket.close();
        }
    }

    private void onClosed() {
        if (!closed) {
            closed = true;
            vertx.cancelTimer(handshakeTimer);
            listener.onClosed(this, closeReason);
        }
    }

    private void onProtocolError(ProtocolException e) {
        Logger.warn("event=protocol-error peer={} address={} reason=\"{}\"", remoteVm, address(), e.getMessage());
        reject(ErrorCode.PROTOCOL_ERROR, String.valueOf(e.getMessage()));
    }

    private void onFrame(Frame frame) {
        lastReceivedAtMs = clock.nowMs();
        if (ready && frame.type() < Frame.HELLO) {
            listener.onMessage(this, frame.type(), PeerCodec.decode(frame.body(), Envelope.class));
            return;
        }
        if (ready && frame.type() == Frame.PING) {
            write(PeerCodec.encodeFrame(Frame.PONG, PeerCodec.decode(frame.body(), Frame.Ping.class)));
            return;
        }
        if (ready && frame.type() == Frame.PONG) {
            return;
        }
        switch (frame.type()) {
            case Frame.HELLO -> onHello(PeerCodec.decode(frame.body(), Frame.Hello.class));
            case Frame.PROOF -> onProof(PeerCodec.decode(frame.body(), Frame.Proof.class));
            case Frame.ACCEPTED -> onAccepted(PeerCodec.decode(frame.body(), Frame.Accepted.class));
            case Frame.CONNECTION_REJECTED ->
                close("rejected by peer: "
                        + PeerCodec.decode(frame.body(), Frame.FailureReport.class)
                                .failure()
                                .message());
            default -> throw new ProtocolException("frame of type " + frame.type() + " before the handshake");
        }
    }

    private void onHello(Frame.Hello hello) {
        requireInOrder(role == Role.CONNECTING && challenge == null);
        if (!hello.vm().equals(remoteVm)) {
            throw new ProtocolException("expected VM " + remoteVm + ", found " + hello.vm());
        }
        Challenge ours = new Challenge(localVm, nonce, remoteVm, hello.nonce());
        challenge = ours;
        byte[] code = authenticator.codeFor(Role.CONNECTING, ours);
        write(PeerCodec.encodeFrame(Frame.PROOF, new Frame.Proof(localVm, nonce, code)));
    }

    private void onProof(Frame.Proof proof) {
        requireInOrder(role == Role.ACCEPTING && challenge == null);
        requireInOrder(!proof.vm().equals(localVm));
        Challenge theirs = new Challenge(proof.vm(), proof.nonce(), localVm, nonce);
        if (!authenticator.matches(Role.CONNECTING, theirs, proof.code())) {
            throw new ProtocolException("VM " + proof.vm() + " does not know the shared key");
        }
        challenge = theirs;
        remoteVm = proof.vm();
        byte[] code = authenticator.codeFor(Role.ACCEPTING, theirs);
        write(PeerCodec.encodeFrame(Frame.ACCEPTED, new Frame.Accepted(code)));
        becomeReady();
    }

    private void onAccepted(Frame.Accepted accepted) {
        Challenge ours = challenge;
        if (role != Role.CONNECTING || ours == null || ready) {
            throw new ProtocolException("handshake out of order");
        }
        if (!authenticator.matches(Role.ACCEPTING, ours, accepted.code())) {
            throw new ProtocolException("VM " + remoteVm + " does not know the shared key");
        }
        becomeReady();
    }

    /**
     * Pings an idle connection and closes it if the peer stays unresponsive. A partition that drops packets does not
     * close a connection by itself: TCP would retransmit for many minutes.
     */
    void checkIdle(long nowMs) {
        long idleMs = nowMs - lastReceivedAtMs;
        if (idleMs >= 2 * PING_AFTER_MS) {
            close("nothing received for " + idleMs + " ms");
        } else if (ready && idleMs >= PING_AFTER_MS) {
            write(PeerCodec.encodeFrame(Frame.PING, new Frame.Ping(++pingSequence)));
        }
    }

    private static void requireInOrder(boolean inOrder) {
        if (!inOrder) {
            throw new ProtocolException("handshake out of order");
        }
    }

    private void becomeReady() {
        ready = true;
        reader.allowFullSizeFrames();
        vertx.cancelTimer(handshakeTimer);
        listener.onReady(this);
    }
}
