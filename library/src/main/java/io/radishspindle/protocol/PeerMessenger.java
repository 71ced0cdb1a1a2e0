package io.radishspindle.protocol;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;

/**
 * Sends and receives messages between entry VMs. Implementations belong to one event loop. The returned futures never
 * fail.
 */
public interface PeerMessenger {
    /** Answers requests of one type. */
    @FunctionalInterface
    interface Handler<T extends PeerMessage> {
        Future<Either<Failure, PeerMessage>> handle(String fromVm, T message);
    }

    /** Registers the handler for a type of message; one handler per type. */
    <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler);

    /**
     * Sends a request and waits for its answer. A failure with {@code notRun} true means that the message was not
     * sent; a failure of the remote handler is passed on as it is.
     */
    <R extends PeerMessage> Future<Either<Failure, R>> request(
            String toVm, PeerMessage message, Class<R> replyType, long timeoutMs);

    /** Sends a message without an answer; it may be lost. */
    void send(String toVm, PeerMessage message);
}
