package io.radishspindle.protocol;

import java.util.Optional;

/** Addresses of entry VMs. Implementations may change over time and belong to the messenger's event loop. */
@FunctionalInterface
public interface PeerDirectory {
    /** Host and port of a VM's internal protocol. */
    record PeerAddress(String host, int port) {}

    /** Address of a VM; empty if the VM is not known. */
    Optional<PeerAddress> addressOf(String vmId);
}
