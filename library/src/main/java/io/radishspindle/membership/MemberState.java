package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.model.Resources;
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

    /** The state without numbers that change with each start and each request. */
    MemberState withoutLoad() {
        List<GroupSummary> idle = groups.stream()
                .map(g -> new GroupSummary(
                        g.group(), g.epoch(), Resources.NONE, Resources.NONE, Resources.NONE, 0, g.ready()))
                .toList();
        return new MemberState(vmId, liveness, configRevision, idle, List.of(), leavingEndpoints);
    }

    MemberState withLiveness(Liveness changed) {
        return new MemberState(vmId, changed, configRevision, groups, services, leavingEndpoints);
    }
}
