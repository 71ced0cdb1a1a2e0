package io.radishspindle.membership;

import io.radishspindle.platform.VmList;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.RelayDigest;
import java.util.List;

/** What happens to the membership of one VM. Events are immutable and thread-safe. */
sealed interface MembershipEvent {
    /** A heartbeat arrived from the VM that the messenger has authenticated. */
    record HeartbeatReceived(String fromVm, Heartbeat heartbeat) implements MembershipEvent {}

    /** A digest arrived from another region, or was passed on inside the data centre. */
    record DigestReceived(String fromVm, RelayDigest digest) implements MembershipEvent {}

    /** The VM list was read. */
    record ListingReceived(VmList.Listing listing) implements MembershipEvent {}

    /** What this VM announces from now on. */
    record LocalStateChanged(
            long configRevision, List<GroupSummary> groups, List<ServiceLoad> services, List<String> leavingEndpoints)
            implements MembershipEvent {}

    /** This VM shuts down. */
    record Leave() implements MembershipEvent {}

    /** Time has passed. */
    record Tick() implements MembershipEvent {}
}
