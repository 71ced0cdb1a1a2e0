package io.radishspindle.protocol;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.ingress.AcceptGate;
import io.radishspindle.platform.Clock;
import io.radishspindle.protocol.Frame.Envelope;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The incoming side: connections that other VMs opened, and the handlers of their messages. Confined to the
 * messenger's event loop.
 *
 * <p>Invariants: at most one authenticated connection per VM; at most {@link #MAX_UNAUTHENTICATED} without
 * a completed handshake.
 */
final class PeerListener implements PeerConnection.Listener {
    /**
     * When the limit is reached, a new connection replaces the oldest one whose handshake is not complete, as a genuine
     * handshake takes milliseconds. Otherwise idle connections could lock peers out.
     */
    static final int MAX_UNAUTHENTICATED = 64;
    /** Far above the 28 entry VMs to which a deployment is expected to grow in two years. */
    static final int MAX_AUTHENTICATED = 512;
    /** Requests of one connection that may be in progress; further ones are rejected. */
    static final int MAX_IN_PROGRESS = 2 * PeerLink.MAX_OUTSTANDING;

    private final Vertx vertx;
    private final Clock clock;
    private final String localVm;
    private final PeerAuthenticator authenticator;
    private final Map<Integer, PeerMessenger.Handler<? extends PeerMessage>> handlers = new HashMap<>();
    private final Set<PeerConnection> unauthenticated = new LinkedHashSet<>();
    private final Map<String, PeerConnection> byVm = new HashMap<>();
    private final Map<PeerConnection, Integer> inProgress = new HashMap<>();

    PeerListener(Vertx vertx, Clock clock, String localVm, PeerAuthenticator authenticator) {
        this.vertx = vertx;
        this.clock = clock;
        this.localVm = localVm;
        this.authenticator = authenticator;
    }

    <T extends PeerMessage> void register(Class<T> type, PeerMessenger.Handler<T> handler) {
        if (handlers.putIfAbsent(PeerCodec.code(type), handler) != null) {
            throw new IllegalStateException("a handler for " + type.getSimpleName() + " is already registered");
        }
    }

    void accept(NetSocket socket) {
        if (socket instanceof NetSocketInternal accepted) {
            AcceptGate.onSeen(accepted.channelHandlerContext().channel());
        }
        if (unauthenticated.size() >= MAX_UNAUTHENTICATED) {
            // Removed at once, as a connection that is being closed would be chosen again.
            PeerConnection oldest = unauthenticated.iterator().next();
            oldest.close("too many connections without a completed handshake");
            unauthenticated.remove(oldest);
        }
        unauthenticated.add(new PeerConnection(vertx, clock, socket, authenticator, localVm, "", this));
    }

    void close() {
        for (PeerConnection connection : List.copyOf(unauthenticated)) {
            connection.close("VM is shutting down");
        }
        for (PeerConnection connection : List.copyOf(byVm.values())) {
            connection.close("VM is shutting down");
        }
    }

    @Override
    public void onReady(PeerConnection connection) {
        unauthenticated.remove(connection);
        PeerConnection previous = byVm.get(connection.remoteVm());
        if (previous == null && byVm.size() >= MAX_AUTHENTICATED) {
            connection.reject(ErrorCode.OVERLOADED, "VM has " + MAX_AUTHENTICATED + " peers, which is the limit");
            return;
        }
        byVm.put(connection.remoteVm(), connection);
        if (previous != null) {
            previous.close("replaced by a newer connection of the same VM");
        }
    }

    @Override
    public void onClosed(PeerConnection connection, String reason) {
        if (unauthenticated.remove(connection)) {
            Logger.warn("event=peer-rejected address={} reason=\"{}\"", connection.address(), reason);
        }
        byVm.remove(connection.remoteVm(), connection);
        inProgress.remove(connection);
    }

    @Override
    public void onMessage(PeerConnection from, int type, Envelope envelope) {
        if (envelope.id() < 0) {
            throw new ProtocolException("reply on a connection that carries only requests");
        }
        long id = envelope.id();
        Class<? extends PeerMessage> messageType = MessageTypes.BY_CODE.get(type);
        if (messageType == null) {
            reply(from, id, rejected("message type " + type + " is unknown to this VM"));
            return;
        }
        PeerMessage message = PeerCodec.decode(envelope.message(), messageType);
        PeerMessenger.Handler<? extends PeerMessage> handler = handlers.get(type);
        if (handler == null) {
            reply(from, id, rejected("this VM does not handle " + messageType.getSimpleName()));
            return;
        }
        int nowInProgress = inProgress.merge(from, 1, Integer::sum);
        if (nowInProgress > MAX_IN_PROGRESS) {
            inProgress.merge(from, -1, Integer::sum);
            String reason = MAX_IN_PROGRESS + " requests of this peer are in progress";
            reply(from, id, Either.left(Failure.retryable(ErrorCode.OVERLOADED, "peer.handle", localVm, reason, 100)));
            return;
        }
        invoke(handler, from.remoteVm(), message).onComplete(result -> {
            inProgress.computeIfPresent(from, (connection, count) -> count - 1);
            reply(from, id, result.succeeded() ? result.result() : Either.left(handlerFailed(result.cause())));
        });
    }

    @SuppressWarnings("unchecked")
    private Future<Either<Failure, PeerMessage>> invoke(
            PeerMessenger.Handler<? extends PeerMessage> handler, String fromVm, PeerMessage message) {
        try {
            // Unchecked but safe: register() stores each handler under the code of its own message type.
            return ((PeerMessenger.Handler<PeerMessage>) handler).handle(fromVm, message);
        } catch (RuntimeException e) {
            return Future.succeededFuture(Either.left(handlerFailed(e)));
        }
    }

    private Failure handlerFailed(@Nullable Throwable e) {
        Logger.error(e, "event=handler-failed");
        return new Failure(ErrorCode.INTERNAL, "peer.handle", localVm, "handler failed: " + e, false, 0);
    }

    private Either<Failure, PeerMessage> rejected(String reason) {
        return Either.left(new Failure(ErrorCode.PROTOCOL_ERROR, "peer.handle", localVm, reason, true, 0));
    }

    private void reply(PeerConnection to, long id, Either<Failure, PeerMessage> result) {
        if (id == 0) {
            return;
        }
        Buffer frame =
                result.fold(failure -> encodeFailure(id, failure), message -> PeerCodec.encodeMessage(-id, message));
        if (frame.length() > PeerCodec.MAX_FRAME_BYTES + PeerCodec.LENGTH_BYTES) {
            String reason = "reply of " + frame.length() + " bytes is too large for a frame";
            frame = encodeFailure(id, new Failure(ErrorCode.INTERNAL, "peer.handle", localVm, reason, false, 0));
        }
        if (!to.write(frame)) {
            to.close("peer reads its replies too slowly");
        }
    }

    private static Buffer encodeFailure(long id, Failure failure) {
        byte[] message = PeerCodec.encode(new Frame.FailureReport(failure));
        return PeerCodec.encodeFrame(Frame.REQUEST_FAILED, new Envelope(-id, message));
    }

    int connectionCount() {
        return unauthenticated.size() + byVm.size();
    }
}
