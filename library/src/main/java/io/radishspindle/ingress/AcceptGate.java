package io.radishspindle.ingress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Stops a server from accepting connections while its event loop has not seen those accepted before: the acceptor has a
 * thread of its own, and each connection takes a descriptor before it is counted. Thread-safe.
 *
 * <p>Invariant: while more than {@link #MAX_UNSEEN} connections are unseen, the server's channel is not read; further
 * connections wait in the queue of the operating system.
 */
public final class AcceptGate extends ChannelInboundHandlerAdapter {
    private static final int MAX_UNSEEN = 64;

    private final Channel server;
    private final Set<Channel> unseen = ConcurrentHashMap.newKeySet();

    private AcceptGate(Channel server) {
        this.server = server;
    }

    /**
     * Reports a connection that the event loop has seen. The first one of a server installs the gate, as the channel of
     * a server is reached only through its connections.
     */
    public static void onSeen(Channel connection) {
        Channel server = connection.parent();
        if (server == null) {
            return;
        }
        AcceptGate gate = server.pipeline().get(AcceptGate.class);
        if (gate == null) {
            server.pipeline().addFirst(new AcceptGate(server));
        } else {
            gate.remove(connection);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Channel connection) {
            unseen.add(connection);
            // It may be closed before it is seen.
            connection.closeFuture().addListener(closed -> remove(connection));
            if (unseen.size() > MAX_UNSEEN) {
                server.config().setAutoRead(false);
                // The event loop may have seen them all meanwhile.
                resumeIfSeen();
            }
        }
        context.fireChannelRead(message);
    }

    private void remove(Channel connection) {
        if (unseen.remove(connection)) {
            resumeIfSeen();
        }
    }

    private void resumeIfSeen() {
        if (unseen.size() <= MAX_UNSEEN / 2) {
            server.config().setAutoRead(true);
        }
    }
}
