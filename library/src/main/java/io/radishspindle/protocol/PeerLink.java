package io.radishspindle.protocol;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.protocol.Frame.Envelope;
import io.vavr.control.Either;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * The outgoing side to one peer: at most one connection, dialled on demand, and the requests that wait for an answer.
 * Belongs to the messenger's event loop.
 *
 * <p>Invariant: each request ends exactly once, by its answer, its timeout, or the end of its connection.
 */
final class PeerLink implements PeerConnection.Listener {
    static final int MAX_OUTSTANDING = 1_024;
    /** Messages that wait until a connection is ready; more are refused. */
    static final int MAX_WAITING = 64;

    private static final long FIRST_BACK_OFF_MS = 100;
    private static final long MAX_BACK_OFF_MS = 5_000;

    /** A request whose answer is awaited. */
    private static final class Outstanding {
        final Class<? extends PeerMessage> replyType;
        final Promise<Either<Failure, PeerMessage>> promise;
        final long timer;
        boolean written;

        Outstanding(Class<? extends PeerMessage> replyType, Promise<Either<Failure, PeerMessage>> promise, long timer) {
            this.replyType = replyType;
            this.promise = promise;
            this.timer = timer;
        }
    }

    /** A frame that waits for the connection; id 0 if it needs no answer. */
    private record Waiting(long id, Buffer frame) {}

    private enum State {
        IDLE,
        CONNECTING,
        READY
    }

    private final Vertx vertx;
    private final Clock clock;
    private final String peer;
    private final BiConsumer<PeerLink, Integer> dialler;
    private final ToLongFunction<Long> jitter;
    private final Map<Long, Outstanding> outstanding = new LinkedHashMap<>();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private State state = State.IDLE;
    private @Nullable PeerConnection connection;
    private long nextDialAtMs = Long.MIN_VALUE;
    private long backOffMs = FIRST_BACK_OFF_MS;
    private int dials;

    /**
     * @param dialler starts a connection; its number tells a late result from a current one
     * @param jitter a random time up to its argument, so that VMs don't redial a restarted peer all at once
     */
    PeerLink(
            Vertx vertx, Clock clock, String peer, BiConsumer<PeerLink, Integer> dialler, ToLongFunction<Long> jitter) {
        this.vertx = vertx;
        this.clock = clock;
        this.peer = peer;
        this.dialler = dialler;
        this.jitter = jitter;
    }

    String peer() {
        return peer;
    }

    void send(Buffer frame) {
        submit(0, frame);
    }

    void request(
            long id,
            Buffer frame,
            Class<? extends PeerMessage> replyType,
            long timeoutMs,
            Promise<Either<Failure, PeerMessage>> promise) {
        if (outstanding.size() >= MAX_OUTSTANDING) {
            String message = MAX_OUTSTANDING + " requests to the peer wait for an answer";
            promise.complete(Either.left(
                    Failure.retryable(ErrorCode.OVERLOADED, "peer.request", peer, message, FIRST_BACK_OFF_MS)));
            return;
        }
        long timer = vertx.setTimer(Math.max(1, timeoutMs), ignored -> onTimeout(id, timeoutMs));
        outstanding.put(id, new Outstanding(replyType, promise, timer));
        submit(id, frame).ifPresent(failure -> end(id, Either.left(failure)));
    }

    /** Sends a frame or lets it wait for the connection; yields the failure if neither is possible. */
    private Optional<Failure> submit(long id, Buffer frame) {
        if (state == State.READY) {
            return write(id, frame);
        }
        if (state == State.IDLE && clock.nowMs() < nextDialAtMs) {
            return Optional.of(unreachable("not connected", nextDialAtMs - clock.nowMs()));
        }
        if (waiting.size() >= MAX_WAITING) {
            return Optional.of(unreachable("connecting; too many messages wait", FIRST_BACK_OFF_MS));
        }
        waiting.add(new Waiting(id, frame));
        if (state == State.IDLE) {
            state = State.CONNECTING;
            dialler.accept(this, ++dials);
        }
        return Optional.empty();
    }

    private Optional<Failure> write(long id, Buffer frame) {
        PeerConnection current = connection;
        if (current == null || !current.write(frame)) {
            return Optional.of(unreachable("peer reads too slowly", FIRST_BACK_OFF_MS));
        }
        Outstanding request = outstanding.get(id);
        if (request != null) {
            request.written = true;
        }
        return Optional.empty();
    }

    private Failure unreachable(String reason, long retryAfterMs) {
        return Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", peer, reason, Math.max(1, retryAfterMs));
    }

    /** Takes a new connection, which still has to complete its handshake; false if it is no longer wanted. */
    boolean connected(int dial, PeerConnection opened) {
        if (dial != dials || state != State.CONNECTING) {
            return false;
        }
        connection = opened;
        return true;
    }

    void dialFailed(int dial, String reason) {
        if (dial == dials && state == State.CONNECTING) {
            disconnected(reason);
        }
    }

    @Override
    public void onReady(PeerConnection ready) {
        if (ready != connection) {
            return;
        }
        state = State.READY;
        backOffMs = FIRST_BACK_OFF_MS;
        Logger.info("event=peer-connected peer={} address={}", peer, ready.address());
        while (!waiting.isEmpty()) {
            Waiting next = waiting.remove();
            if (next.id() == 0 || outstanding.containsKey(next.id())) {
                write(next.id(), next.frame()).ifPresent(failure -> end(next.id(), Either.left(failure)));
            }
        }
    }

    @Override
    public void onClosed(PeerConnection closed, String reason) {
        if (closed == connection) {
            disconnected(reason);
        }
    }

    private void disconnected(String reason) {
        state = State.IDLE;
        connection = null;
        dials++;
        nextDialAtMs = clock.nowMs() + backOffMs / 2 + jitter.applyAsLong(backOffMs / 2);
        Logger.info("event=peer-disconnected peer={} reason=\"{}\" back_off_ms={}", peer, reason, backOffMs);
        backOffMs = Math.min(2 * backOffMs, MAX_BACK_OFF_MS);
        waiting.clear();
        for (long id : List.copyOf(outstanding.keySet())) {
            Outstanding request = outstanding.get(id);
            boolean written = request != null && request.written;
            end(
                    id,
                    Either.left(
                            written ? Failure.outcomeUnknown("peer.request", peer, reason) : unreachable(reason, 1)));
        }
    }

    @Override
    public void onMessage(PeerConnection from, int type, Envelope envelope) {
        if (from != connection || envelope.id() >= 0) {
            throw new ProtocolException("request on a connection that carries only answers");
        }
        long id = -envelope.id();
        Outstanding request = outstanding.get(id);
        if (request == null) {
            return; // The answer came after the timeout.
        }
        if (type == Frame.FAILED) {
            end(
                    id,
                    Either.left(PeerCodec.decode(envelope.message(), Frame.Refusal.class)
                            .failure()));
        } else if (type == PeerCodec.code(request.replyType)) {
            end(id, Either.right(PeerCodec.decode(envelope.message(), request.replyType)));
        } else {
            throw new ProtocolException(
                    "answer of type " + type + " to a request that expects " + request.replyType.getSimpleName());
        }
    }

    private void onTimeout(long id, long timeoutMs) {
        Outstanding request = outstanding.get(id);
        if (request == null) {
            return;
        }
        String message = "no answer within " + timeoutMs + " ms";
        Failure failure =
                request.written ? Failure.outcomeUnknown("peer.request", peer, message) : unreachable(message, 1);
        end(id, Either.left(failure));
    }

    private void end(long id, Either<Failure, PeerMessage> result) {
        Outstanding request = outstanding.remove(id);
        if (request != null) {
            vertx.cancelTimer(request.timer);
            request.promise.complete(result);
        }
    }

    void checkIdle(long nowMs) {
        PeerConnection current = connection;
        if (current != null) {
            current.checkIdle(nowMs);
        }
    }

    void close(String reason) {
        PeerConnection current = connection;
        if (current != null) {
            current.close(reason);
        } else if (state == State.CONNECTING) {
            disconnected(reason);
        }
    }
}
