package io.radishspindle.ingress;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.AttributeKey;
import io.radishspindle.platform.Clock;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Creates HTTP servers whose callers share one bound of memory, whatever they send, hold back or don't read. All
 * servers must be started on the event loop on which they are created; confined to it.
 *
 * <p>Invariants: each open connection of the servers is in the set of its port and in the budget; no port has more
 * connections than its maximum.
 */
public final class Ingress {
    /** Largest header of a request. */
    public static final int MAX_HEADER_BYTES = 16 * 1024;

    /** The deployments allow callers 3 s. */
    private static final long HEADER_TIMEOUT_MS = 5_000;
    /** For requests without a deadline of their own, and for those with a longer one. */
    private static final long BODY_TIMEOUT_MS = 60_000;

    private static final long RESPONSE_TIMEOUT_MS = 30_000;
    /** Time in which a caller that reads sees that its body was refused. */
    private static final long DISCARD_TIMEOUT_MS = 5_000;

    private static final long CHECK_INTERVAL_MS = 1_000;
    /** Small, as the operating system keeps this much for each connection that is not read. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 256;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 8 * 1024;
    private static final AttributeKey<GuardedConnection> CONNECTION = AttributeKey.valueOf(Ingress.class, "connection");

    private final Vertx vertx;
    private final Clock clock;
    private final IngressLog log;
    private final MemoryBudget budget;
    private final ReadPacer pacer = new ReadPacer();
    private final Set<GuardedConnection> connections = new LinkedHashSet<>();
    private long checkTimer = -1;

    /** @param maxMemoryBytes bound of the memory that callers of all servers occupy together */
    public Ingress(Vertx vertx, Clock clock, MetricRegistry metrics, long maxMemoryBytes) {
        this.vertx = vertx;
        this.clock = clock;
        log = new IngressLog(clock, metrics);
        budget = new MemoryBudget(clock, maxMemoryBytes);
        log.gauge("callers.occupied_bytes", budget::occupiedBytes);
        log.gauge("callers.connections", connections::size);
    }

    /**
     * Creates a server.
     *
     * @param port names the port in log lines
     * @param maxConnections connections that may be open; further ones replace those that make no progress
     * @param idleTimeoutS how long a connection may be without a request
     */
    public HttpServer createServer(int port, int maxConnections, int idleTimeoutS) {
        HttpServerOptions options = new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReceiveBufferSize(RECEIVE_BUFFER_BYTES)
                .setMaxHeaderSize(MAX_HEADER_BYTES)
                // An upgrade would bypass the limits, which are those of HTTP/1.1.
                .setHttp2ClearTextEnabled(false);
        IngressTimeouts timeouts = new IngressTimeouts(
                HEADER_TIMEOUT_MS,
                BODY_TIMEOUT_MS,
                RESPONSE_TIMEOUT_MS,
                DISCARD_TIMEOUT_MS,
                TimeUnit.SECONDS.toMillis(idleTimeoutS));
        Port guarded = new Port(port, maxConnections, timeouts);
        return vertx.createHttpServer(options).connectionHandler(guarded::accept);
    }

    /** Sets what refuses a request while its body is being received; without it, its connection is closed. */
    public static void onGiveWay(HttpServerRequest request, Runnable refuse) {
        connectionOf(request).ifPresent(connection -> connection.onGiveWay(refuse));
    }

    /** The guard of a request's connection; empty if its server was not created here. */
    static Optional<GuardedConnection> connectionOf(HttpServerRequest request) {
        return request.connection() instanceof ConnectionBase connection
                ? Optional.ofNullable(connection.channel().attr(CONNECTION).get())
                : Optional.empty();
    }

    private void checkDeadlines() {
        long nowMs = clock.nowMs();
        List.copyOf(connections).forEach(connection -> connection.checkDeadline(nowMs));
        budget.makeRoom();
        if (connections.isEmpty()) {
            vertx.cancelTimer(checkTimer);
            checkTimer = -1;
        }
    }

    /** The connections of one server. */
    private final class Port {
        private final int number;
        private final int maxConnections;
        private final IngressTimeouts timeouts;
        private final Set<GuardedConnection> open = new LinkedHashSet<>();

        Port(int number, int maxConnections, IngressTimeouts timeouts) {
            this.number = number;
            this.maxConnections = maxConnections;
            this.timeouts = timeouts;
        }

        void accept(HttpConnection accepted) {
            // The channel is not part of the public interface of a connection.
            ChannelHandlerContext context = ((ConnectionBase) accepted).channelHandlerContext();
            Channel channel = context.channel();
            AcceptGate.onSeen(channel);
            GuardedConnection connection = new GuardedConnection(clock, channel, number, timeouts, budget, log);
            if (open.size() >= maxConnections) {
                MemoryBudget.Occupant first = GiveWayOrder.CONNECTIONS.first(open, clock.nowMs());
                if (first == null) {
                    connection.giveWay(IngressLimit.CONNECTIONS);
                    return;
                }
                open.remove(first);
                first.giveWay(IngressLimit.CONNECTIONS);
            }
            install(context, connection);
            open.add(connection);
            connections.add(connection);
            budget.add(connection);
            channel.closeFuture().addListener(closed -> {
                open.remove(connection);
                connections.remove(connection);
            });
            if (checkTimer < 0) {
                checkTimer = vertx.setPeriodic(CHECK_INTERVAL_MS, ignored -> checkDeadlines());
            }
        }

        private void install(ChannelHandlerContext server, GuardedConnection connection) {
            Channel channel = server.channel();
            ChannelConfig config = channel.config();
            // One read for each connection in turn.
            config.setRecvByteBufAllocator(
                    new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                            .maxMessagesPerRead(1));
            channel.attr(CONNECTION).set(connection);
            ByteGate gate = new ByteGate(connection, pacer);
            channel.pipeline()
                    .addFirst(gate)
                    .addBefore(server.name(), null, new MessageObserver(connection, gate::passSoon));
        }
    }
}
