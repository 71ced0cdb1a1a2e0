package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Liveness;
import java.util.List;

/**
 * What an entry VM announces of itself, with its liveness as seen by the announcing VM. Immutable and thread-safe.
 *
 * @param leavingEndpoints endpoints that the VM knows to be leaving
 */
public record MemberState(
        String vmId,
        Liveness liveness,
        long configRevision,
        List<GroupSummary> groups,
        List<ServiceLoad> services,
        List<String> leavingEndpoints) {

    /** State of a VM that has not been heard yet. */
    static MemberState unheard(String vmId) {
        return new MemberState(vmId, Liveness.SUSPECT, 0, List.of(), List.of(), List.of());
    }

    MemberState withLiveness(Liveness changed) {
        return new MemberState(vmId, changed, configRevision, groups, services, leavingEndpoints);
    }
}
