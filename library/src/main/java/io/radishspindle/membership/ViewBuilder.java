package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.membership.MembershipView.OwnedGroup;
import io.radishspindle.platform.VmList.State;
import io.radishspindle.platform.VmList.Vm;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Builds a view from the states of the members. Stateless and thread-safe. */
final class ViewBuilder {
    private ViewBuilder() {}

    static MembershipView build(String self, Directory directory, Map<String, MemberState> states) {
        List<EntryVm> vms = directory.entryVms().stream()
                .map(vm -> entryVm(vm, states.getOrDefault(vm.id(), MemberState.unheard(vm.id()))))
                .toList();
        EntryVm own = vms.stream()
                .filter(vm -> vm.id().equals(self))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("this VM is missing from its own directory"));
        List<Endpoint> endpoints = endpoints(directory, states);
        return new MembershipView(own, vms, directory.workers(), endpoints, owners(states));
    }

    private static EntryVm entryVm(Vm vm, MemberState state) {
        return new EntryVm(
                vm.id(),
                vm.dataCentre(),
                vm.host(),
                vm.port(),
                state.liveness(),
                state.configRevision(),
                state.services());
    }

    /** An endpoint is leaving as long as the VM list or any VM that is not dead says so. */
    private static List<Endpoint> endpoints(Directory directory, Map<String, MemberState> states) {
        Set<String> leaving = new HashSet<>();
        states.values().stream()
                .filter(state -> state.liveness() != Liveness.DEAD)
                .forEach(state -> leaving.addAll(state.leavingEndpoints()));
        return directory.endpoints().stream()
                .map(vm -> endpoint(vm, leaving.contains(vm.id())))
                .toList();
    }

    private static Endpoint endpoint(Vm vm, boolean announcedAsLeaving) {
        boolean leaving = announcedAsLeaving || vm.state() == State.LEAVING;
        return new Endpoint(
                vm.id(),
                vm.service(),
                vm.dataCentre(),
                vm.host(),
                vm.port(),
                vm.slots(),
                vm.connections(),
                leaving ? Liveness.LEAVING : Liveness.LIVE);
    }

    private static Map<String, OwnedGroup> owners(Map<String, MemberState> states) {
        Map<String, OwnedGroup> owners = new TreeMap<>();
        for (MemberState state : states.values()) {
            for (GroupSummary summary : state.groups()) {
                OwnedGroup candidate = new OwnedGroup(state.vmId(), summary);
                owners.merge(summary.group(), candidate, ViewBuilder::newer);
            }
        }
        return owners;
    }

    private static OwnedGroup newer(OwnedGroup a, OwnedGroup b) {
        return b.summary().epoch() > a.summary().epoch() ? b : a;
    }
}
