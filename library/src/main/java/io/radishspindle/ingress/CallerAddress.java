package io.radishspindle.ingress;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;

/**
 * Where a caller is connected, for log lines. Immutable and thread-safe.
 *
 * @param port port of this VM
 * @param remote host and port of the caller
 */
record CallerAddress(int port, String remote) {
    static CallerAddress of(Channel channel, int port) {
        String remote = channel.remoteAddress() instanceof InetSocketAddress inet
                ? inet.getHostString() + ":" + inet.getPort()
                : "unknown";
        return new CallerAddress(port, remote);
    }
}
