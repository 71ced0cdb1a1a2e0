package io.radishspindle.protocol.message;

import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/**
 * Periodic message between entry VMs. Immutable and thread-safe.
 *
 * @param incarnation distinguishes restarts of a VM with the same id; higher is newer
 * @param sequence increases by one with each heartbeat to this peer
 * @param receivedSequence highest sequence received from this peer, so that a peer whose heartbeats get lost notices it
 * @param leaving the sender is shutting down
 * @param configRevision revision of the configuration that the sender has applied
 * @param groups groups that the sender owns
 * @param services load of the services at the sender
 * @param leavingEndpoints endpoints that, as far as the sender knows, are shutting down
 */
public record Heartbeat(
        String vmId,
        long incarnation,
        long sequence,
        long receivedSequence,
        boolean leaving,
        long configRevision,
        List<GroupSummary> groups,
        List<ServiceLoad> services,
        List<String> leavingEndpoints)
        implements PeerMessage {}
