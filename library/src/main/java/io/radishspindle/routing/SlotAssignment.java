package io.radishspindle.routing;

import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.membership.MembershipView.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits the slots of executors among entry VMs by rendezvous hashing. Stateless and thread-safe.
 *
 * <p>Invariant: for one list of VMs, each slot belongs to exactly one VM, and a VM that joins or leaves changes only
 * the owners of slots that it gains or loses.
 */
final class SlotAssignment {
    private SlotAssignment() {}

    /** Number of slots of the endpoint's executor by VM; VMs without a slot are absent. */
    static Map<String, Integer> slotsByVm(Endpoint endpoint, List<String> vms) {
        Map<String, Integer> slots = new HashMap<>();
        for (int slot = 0; slot < endpoint.slots() && !vms.isEmpty(); slot++) {
            slots.merge(ownerOf(endpoint.id(), slot, vms), 1, Integer::sum);
        }
        return slots;
    }

    private static String ownerOf(String endpointId, int slot, List<String> vms) {
        String best = vms.get(0);
        long bestHash = hash(endpointId, slot, best);
        for (String vm : vms.subList(1, vms.size())) {
            long hash = hash(endpointId, slot, vm);
            if (hash > bestHash) {
                best = vm;
                bestHash = hash;
            }
        }
        return best;
    }

    private static long hash(String endpointId, int slot, String vm) {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(endpointId)
                .putInt(slot)
                .putString(vm)
                .getAsLong();
    }
}
