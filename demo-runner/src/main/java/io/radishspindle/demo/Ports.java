package io.radishspindle.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.stream.IntStream;

/**
 * Hands out TCP ports on loopback in rising order, and skips those that are in use at the moment. Not thread-safe.
 *
 * <p>Invariant: no port is handed out twice. The range should lie below the ports that the operating system gives to
 * outgoing connections, so that a port stays free until its server listens.
 */
final class Ports {
    private static final int HIGHEST = 65_535;
    private int next;

    Ports(int first) {
        this.next = first;
    }

    int take() {
        return takeRange(1);
    }

    /** Takes ports that follow each other and yields the first one. */
    int takeRange(int count) {
        while (next + count - 1 <= HIGHEST) {
            int first = next;
            next++;
            if (IntStream.range(first, first + count).allMatch(Ports::isFree)) {
                next = first + count;
                return first;
            }
        }
        throw new IllegalStateException("no free port left in the range");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
