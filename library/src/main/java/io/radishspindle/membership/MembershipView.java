package io.radishspindle.membership;

import io.radishspindle.model.WorkerInfo;
import java.util.List;
import java.util.Map;

/**
 * What one entry VM knows of the others. Immutable and thread-safe; a new view replaces the old one.
 *
 * @param self this VM
 * @param entryVms all known entry VMs, this one included, ordered by id
 * @param workers workers by the VM list, ordered by id
 * @param endpoints endpoints, ordered by id
 * @param groupOwners summary of each group by the VM that announces ownership; the highest epoch wins
 */
public record MembershipView(
        EntryVm self,
        List<EntryVm> entryVms,
        List<Worker> workers,
        List<Endpoint> endpoints,
        Map<String, OwnedGroup> groupOwners) {

    /** Liveness as seen from this VM. */
    public enum Liveness {
        LIVE,
        SUSPECT,
        DEAD,
        LEAVING
    }

    /** An entry VM. */
    public record EntryVm(
            String id,
            String dataCentre,
            String host,
            int port,
            Liveness liveness,
            long configRevision,
            List<ServiceLoad> services) {}

    /** A worker. */
    public record Worker(WorkerInfo info, boolean leaving) {}

    /** An endpoint with the executor's limits. */
    public record Endpoint(
            String id,
            String service,
            String dataCentre,
            String host,
            int port,
            int slots,
            int connections,
            Liveness liveness) {}

    /** A group and the VM that owns it. */
    public record OwnedGroup(String ownerVm, GroupSummary summary) {}

    /** Entry VMs of a data centre that may take new work, ordered by id. */
    public List<EntryVm> liveEntryVms(String dataCentre) {
        return entryVms.stream()
                .filter(vm -> vm.dataCentre().equals(dataCentre) && vm.liveness() == Liveness.LIVE)
                .toList();
    }
}
