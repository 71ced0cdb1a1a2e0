package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Slots of all executors by VM, kept until the VMs of a data centre or the slots of an executor change. Not
 * thread-safe.
 */
final class SlotTable {
    private record Assignment(List<String> vms, int slots, Map<String, Integer> byVm) {}

    private Map<String, Assignment> byEndpoint = new HashMap<>();
    private final Map<String, List<String>> vmsByDataCentre = new HashMap<>();

    /** Recomputes the slots of endpoints whose slots or VMs have changed. */
    void update(MembershipView view) {
        vmsByDataCentre.clear();
        Map<String, Assignment> next = new HashMap<>();
        for (Endpoint endpoint : view.endpoints()) {
            List<String> vms = vmsByDataCentre.computeIfAbsent(endpoint.dataCentre(), dc -> vmsOf(dc, view));
            Assignment old = byEndpoint.get(endpoint.id());
            if (old == null || old.slots() != endpoint.slots() || !old.vms().equals(vms)) {
                old = new Assignment(vms, endpoint.slots(), SlotAssignment.slotsByVm(endpoint, vms));
            }
            next.put(endpoint.id(), old);
        }
        byEndpoint = next;
    }

    int slots(Endpoint endpoint, String vm) {
        Assignment assignment = byEndpoint.get(endpoint.id());
        return assignment == null ? 0 : assignment.byVm().getOrDefault(vm, 0);
    }

    /** Connections that each VM may open to the executor. */
    int connectionShare(Endpoint endpoint) {
        int vms = vmsByDataCentre.getOrDefault(endpoint.dataCentre(), List.of()).size();
        return Math.max(1, endpoint.connections() / Math.max(1, vms));
    }

    /**
     * Live VMs of a data centre. A leaving VM still includes itself, so that it can finish its queue with its own
     * slots.
     */
    private static List<String> vmsOf(String dataCentre, MembershipView view) {
        TreeSet<String> ids = new TreeSet<>();
        for (EntryVm vm : view.liveEntryVms(dataCentre)) {
            ids.add(vm.id());
        }
        if (view.self().dataCentre().equals(dataCentre)) {
            ids.add(view.self().id());
        }
        return new ArrayList<>(ids);
    }
}
