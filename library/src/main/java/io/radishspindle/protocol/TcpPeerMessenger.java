package io.radishspindle.protocol;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Messages between entry VMs over TCP. Each VM sends its requests and one-way messages over a connection that it
 * opens itself; replies return on the same connection.
 *
 * <p>All state belongs to the event loop of the context in which the messenger was created. Calls from other threads
 * are handed over to it, so the class is thread-safe; completions and handlers run on that event loop.
 */
public final class TcpPeerMessenger implements PeerMessenger {
    private static final int CONNECT_TIMEOUT_MS = 2_000;
    private static final long IDLE_CHECK_MS = 1_000;

    private final Vertx vertx;
    private final Clock clock;
    private final Context context;
    private final String localVm;
    private final String host;
    private final int port;
    private final PeerDirectory directory;
    private final PeerAuthenticator authenticator;
    private final PeerListener listener;
    private final NetServer server;
    private final NetClient client;
    private final UniformRandomProvider random;
    private final Map<String, PeerLink> links = new HashMap<>();
    private long lastRequestId;
    private long idleTimer = -1;
    private boolean closed;

    /**
     * @param port TCP port to listen on; 0 for a free one
     * @param sharedKey key that all entry VMs of the deployment share
     */
    public TcpPeerMessenger(
            Vertx vertx,
            Clock clock,
            String localVm,
            String host,
            int port,
            String sharedKey,
            PeerDirectory directory) {
        this.vertx = vertx;
        this.clock = clock;
        this.localVm = localVm;
        this.host = host;
        this.port = port;
        this.directory = directory;
        context = vertx.getOrCreateContext();
        authenticator = new PeerAuthenticator(sharedKey);
        listener = new PeerListener(vertx, clock, localVm, authenticator);
        server = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        client =
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MS));
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(localVm.hashCode());
    }

    /** Starts to listen; fails if the port is in use. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        onLoop(() -> {
            server.connectHandler(listener::accept);
            idleTimer = vertx.setPeriodic(IDLE_CHECK_MS, ignored -> checkIdle());
            server.listen(port, host).<Void>mapEmpty().onComplete(started);
        });
        return started.future();
    }

    /** Port on which the messenger listens, once it has started. */
    public int port() {
        return server.actualPort();
    }

    /** Closes the listener and all connections; outstanding requests complete with a failure. */
    public Future<Void> close() {
        Promise<Void> done = Promise.promise();
        onLoop(() -> {
            closed = true;
            vertx.cancelTimer(idleTimer);
            listener.close();
            List.copyOf(links.values()).forEach(link -> link.close("VM is shutting down"));
            Future.all(server.close(), client.close()).<Void>mapEmpty().onComplete(done);
        });
        return done.future();
    }

    @Override
    public <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler) {
        onLoop(() -> listener.register(type, handler));
    }

    @Override
    @SuppressWarnings("unchecked")
    public <R extends PeerMessage> Future<Either<Failure, R>> request(
            String toVm, PeerMessage message, Class<R> replyType, long timeoutMs) {
        Promise<Either<Failure, PeerMessage>> promise = Promise.promise();
        long id = nextRequestId();
        Buffer frame = PeerCodec.encodeMessage(id, message);
        if (isTooLarge(frame)) {
            String reason =
                    message.getClass().getSimpleName() + " of " + frame.length() + " bytes is too large for a frame";
            return Future.succeededFuture(
                    Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, "peer.request", reason)));
        }
        onLoop(() -> {
            if (closed) {
                promise.complete(
                        Either.left(Failure.rejected(ErrorCode.SHUTTING_DOWN, "peer.request", "messenger is closed")));
            } else {
                link(toVm).request(id, frame, replyType, timeoutMs, promise);
            }
        });
        // The link completes the promise only with a message of replyType.
        return promise.future().map(result -> result.map(reply -> (R) reply));
    }

    @Override
    public void send(String toVm, PeerMessage message) {
        Buffer frame = PeerCodec.encodeMessage(0, message);
        if (isTooLarge(frame)) {
            throw new IllegalArgumentException(
                    message.getClass().getSimpleName() + " of " + frame.length() + " bytes is too large for a frame");
        }
        onLoop(() -> {
            if (!closed) {
                link(toVm).send(frame);
            }
        });
    }

    private static boolean isTooLarge(Buffer frame) {
        return frame.length() > PeerCodec.MAX_FRAME_BYTES + PeerCodec.LENGTH_BYTES;
    }

    private synchronized long nextRequestId() {
        return ++lastRequestId;
    }

    private PeerLink link(String toVm) {
        return links.computeIfAbsent(
                toVm, peer -> new PeerLink(vertx, clock, peer, this::dial, max -> random.nextLong(max + 1)));
    }

    private void dial(PeerLink link, int dial) {
        Optional<PeerDirectory.PeerAddress> address = directory.addressOf(link.peer());
        if (address.isEmpty()) {
            link.onDialFailed(dial, "no address is known for VM " + link.peer());
            return;
        }
        client.connect(address.get().port(), address.get().host())
                .onSuccess(socket -> onConnected(link, dial, socket))
                .onFailure(e -> link.onDialFailed(dial, "can't connect: " + e.getMessage()));
    }

    private void onConnected(PeerLink link, int dial, NetSocket socket) {
        PeerConnection connection = new PeerConnection(vertx, clock, socket, authenticator, localVm, link.peer(), link);
        if (!link.onConnected(dial, connection)) {
            connection.close("no longer needed");
        }
    }

    private void checkIdle() {
        long nowMs = clock.nowMs();
        for (PeerLink link : List.copyOf(links.values())) {
            link.checkIdle(nowMs);
            if (directory.addressOf(link.peer()).isEmpty()) {
                links.remove(link.peer());
                link.close("VM is no longer known");
            }
        }
    }

    private void onLoop(Runnable action) {
        if (Vertx.currentContext() == context) {
            action.run();
        } else {
            context.runOnContext(ignored -> action.run());
        }
    }
}
