package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Messengers that pass messages between the VMs of one test by direct calls. Thread-safe. */
final class LoopbackPeers {
    private final Map<String, Handler<PeerMessage>> handlers = new ConcurrentHashMap<>();

    /** Handler of all messages; the type is checked by the sender. */
    private interface Handler<T extends PeerMessage> extends PeerMessenger.Handler<T> {}

    PeerMessenger messenger(String self) {
        return new PeerMessenger() {
            @Override
            @SuppressWarnings("unchecked")
            public <T extends PeerMessage> void handle(Class<T> type, PeerMessenger.Handler<T> handler) {
                handlers.put(self + type.getName(), (from, message) -> handler.handle(from, (T) message));
            }

            @Override
            public <R extends PeerMessage> Future<Either<Failure, R>> request(
                    String toVm, PeerMessage message, Class<R> replyType, long timeoutMs) {
                Handler<PeerMessage> handler =
                        handlers.get(toVm + message.getClass().getName());
                if (handler == null) {
                    return Future.succeededFuture(Either.left(
                            Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", toVm, "not connected", 100)));
                }
                return handler.handle(self, message).map(reply -> reply.map(replyType::cast));
            }

            @Override
            public void send(String toVm, PeerMessage message) {
                throw new UnsupportedOperationException("not used by routing");
            }
        };
    }
}
