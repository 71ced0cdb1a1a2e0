package io.radishspindle.membership;

import io.radishspindle.membership.MembershipView.Worker;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.VmList;
import io.radishspindle.platform.VmList.Kind;
import io.radishspindle.platform.VmList.State;
import io.radishspindle.platform.VmList.Vm;
import io.radishspindle.protocol.PeerDirectory;
import io.radishspindle.settings.EntrySettings;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Addresses and placement of all VMs, from the settings and the newest VM list. Not thread-safe; belongs to the
 * membership core. Before the first list, the seeds of the settings are all that is known.
 */
final class Directory implements PeerDirectory {
    private final String self;
    private final String ownRegion;
    private final Map<String, String> regionOf = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private Map<String, Vm> entryVms = new TreeMap<>();
    private List<Worker> workers = List.of();
    private List<Vm> endpoints = List.of();
    private long version = Long.MIN_VALUE;

    Directory(EntrySettings settings) {
        EntrySettings.Vm vm = settings.vm();
        self = vm.id();
        ownRegion = vm.region();
        for (String entry : settings.peers().regions()) {
            int colon = entry.indexOf(':');
            regionOf.put(entry.substring(0, colon), entry.substring(colon + 1));
        }
        regionOf.put(vm.dataCentre(), vm.region());
        for (EntrySettings.Seed seed : settings.peers().seeds()) {
            entryVms.put(seed.id(), entryVm(seed.id(), seed.dataCentre(), seed.host(), seed.port()));
        }
        entryVms.put(
                self,
                entryVm(self, vm.dataCentre(), vm.host(), settings.listen().peersPort()));
    }

    private static Vm entryVm(String id, String dataCentre, String host, int port) {
        return new Vm(id, Kind.ENTRY, dataCentre, "", host, port, State.LIVE, "", 0, 0, Resources.NONE);
    }

    /** Takes a list; false if it is not newer than the one in use. VMs that it lacks are kept until {@link #prune}. */
    boolean update(VmList.Listing listing) {
        if (listing.version() <= version) {
            return false;
        }
        version = listing.version();
        listed.clear();
        Map<String, Vm> known = new TreeMap<>(entryVms);
        listing.vms().stream().filter(vm -> vm.kind() == Kind.ENTRY).forEach(vm -> {
            known.put(vm.id(), vm);
            listed.add(vm.id());
        });
        entryVms = known;
        workers = listing.vms().stream()
                .filter(vm -> vm.kind() == Kind.WORKER)
                .sorted(Comparator.comparing(Vm::id))
                .map(Directory::worker)
                .toList();
        endpoints = listing.vms().stream()
                .filter(vm -> vm.kind() == Kind.ENDPOINT)
                .sorted(Comparator.comparing(Vm::id))
                .toList();
        return true;
    }

    /**
     * Forgets entry VMs that are dead and that the list lacks. The list lags, so a VM that is heard stays known;
     * and a list without any entry VM is not believed.
     */
    void prune(Predicate<String> dead) {
        if (!listed.isEmpty()) {
            entryVms.keySet().removeIf(id -> !id.equals(self) && !listed.contains(id) && dead.test(id));
        }
    }

    private static Worker worker(Vm vm) {
        WorkerInfo info = new WorkerInfo(vm.id(), vm.dataCentre(), vm.rack(), vm.host(), vm.port(), vm.capacity());
        return new Worker(info, vm.state() == State.LEAVING);
    }

    @Override
    public Optional<PeerAddress> addressOf(String vmId) {
        return Optional.ofNullable(entryVms.get(vmId)).map(vm -> new PeerAddress(vm.host(), vm.port()));
    }

    List<Vm> entryVms() {
        return List.copyOf(entryVms.values());
    }

    List<Worker> workers() {
        return workers;
    }

    List<Vm> endpoints() {
        return endpoints;
    }

    Set<String> vmIds() {
        return entryVms.keySet();
    }

    boolean isKnown(String vmId) {
        return entryVms.containsKey(vmId);
    }

    String dataCentreOf(String vmId) {
        Vm vm = entryVms.get(vmId);
        return vm == null ? "" : vm.dataCentre();
    }

    boolean isListedAsLeaving(String vmId) {
        Vm vm = entryVms.get(vmId);
        return vm != null && vm.state() == State.LEAVING;
    }

    /** A data centre whose region the settings don't name counts as a region of its own, which costs fewest bytes. */
    boolean isSameRegion(String vmId) {
        return ownRegion.equals(regionOf.get(dataCentreOf(vmId)));
    }

    NavigableSet<String> vmsOf(String dataCentre) {
        NavigableSet<String> ids = new TreeSet<>();
        entryVms.values().stream()
                .filter(vm -> vm.dataCentre().equals(dataCentre))
                .forEach(vm -> ids.add(vm.id()));
        return ids;
    }

    NavigableSet<String> otherRegionDataCentres() {
        NavigableSet<String> names = new TreeSet<>();
        entryVms.values().stream()
                .map(Vm::dataCentre)
                .filter(name -> !ownRegion.equals(regionOf.get(name)))
                .forEach(names::add);
        return names;
    }
}
