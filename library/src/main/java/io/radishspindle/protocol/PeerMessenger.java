package io.radishspindle.protocol;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;

/**
 * Sends and receives messages between entry VMs. Implementations are confined to one event loop. The returned futures
 * never fail.
 */
public interface PeerMessenger {
    /** Handles messages of one type and returns the reply. */
    @FunctionalInterface
    interface Handler<T extends PeerMessage> {
        Future<Either<Failure, PeerMessage>> handle(String fromVm, T message);
    }

    /** Registers the handler for a type of message; one handler per type. */
    <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler);

    /**
     * Sends a request and returns its reply. A failure of this side has {@code notRun} true only if the message was
     * not sent; a failure of the remote handler is returned unchanged.
     */
    <R extends PeerMessage> Future<Either<Failure, R>> request(
            String toVm, PeerMessage message, Class<R> replyType, long timeoutMs);

    /** Sends a one-way message; it may be lost. */
    void send(String toVm, PeerMessage message);
}
