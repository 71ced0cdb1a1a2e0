package io.radishspindle.protocol;

import java.util.Optional;

/** Looks up the addresses of entry VMs, which may change over time. Called on the messenger's event loop. */
@FunctionalInterface
public interface PeerDirectory {
    /** Host and port at which a VM accepts connections of the internal protocol. */
    record PeerAddress(String host, int port) {}

    /** Address of a VM; empty if the VM is not known. */
    Optional<PeerAddress> addressOf(String vmId);
}
