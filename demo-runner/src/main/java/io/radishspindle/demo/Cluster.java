package io.radishspindle.demo;

import io.radishspindle.model.Resources;
import io.radishspindle.platform.VmList.Kind;
import io.radishspindle.platform.VmList.State;
import io.radishspindle.platform.VmList.Vm;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/**
 * A whole system of processes on loopback: platform stand-ins and entry daemons. Thread-safe.
 *
 * <p>Invariant: all processes end with {@link #close} and with the end of this process, also after an interrupt.
 */
public final class Cluster implements AutoCloseable {
    private static final int STAND_IN_HEAP_MB = 64;
    private static final int ENTRY_HEAP_MB = 128;
    private static final Resources PLAIN = new Resources(16_000, 32_768, 0);
    private static final Resources ACCELERATED = new Resources(64_000, 262_144, 8);
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;

    private final Programs programs;
    private final Path directory;
    private final Ports ports;
    private final Children children;
    private final Map<String, EntryVm> entryVms = new LinkedHashMap<>();
    private final List<Vm> others = new ArrayList<>();
    private final Map<String, Long> killedWorkers = new ConcurrentHashMap<>();
    private final Map<String, String> processOfWorker = new HashMap<>();
    private final int storePort;
    private final int vmListPort;
    private volatile boolean deleteDirectory;

    /** Starts all processes of the plan, with their files under the system's temporary directory. */
    public Cluster(ClusterPlan plan, Programs programs, int firstPort) {
        this(plan, programs, firstPort, Path.of(System.getProperty("java.io.tmpdir")));
    }

    /**
     * Starts all processes of the plan; does not wait until they are ready.
     *
     * @param parent where the directory for settings, logs and histories is made
     */
    public Cluster(ClusterPlan plan, Programs programs, int firstPort, Path parent) {
        this.programs = programs;
        this.directory = newDirectory(parent);
        this.ports = new Ports(firstPort);
        this.children = new Children(directory);
        Runtime.getRuntime().addShutdownHook(new Thread(children::close));
        this.storePort = ports.take();
        this.vmListPort = ports.take();
        startStandIn("store", List.of("store", "--port", Integer.toString(storePort)));
        plan.dataCentres().forEach(this::startDataCentre);
        startVmList();
        entryVms.values().forEach(this::startEntryVm);
    }

    public Path directory() {
        return directory;
    }

    public Children children() {
        return children;
    }

    public List<EntryVm> entryVms() {
        return List.copyOf(entryVms.values());
    }

    public String storeUrl() {
        return "http://" + EntryVm.HOST + ":" + storePort;
    }

    public String vmListUrl() {
        return "http://" + EntryVm.HOST + ":" + vmListPort;
    }

    /** Workers and endpoints. */
    public List<Vm> platformVms() {
        return List.copyOf(others);
    }

    /** Kills the process of a worker, and with it all workers that share the process. */
    public void killWorker(String workerId) {
        String process = processOfWorker.get(workerId);
        if (process == null) {
            throw new IllegalArgumentException("no worker " + workerId);
        }
        long deadAtMs = children.kill(process);
        processOfWorker.forEach((worker, name) -> {
            if (name.equals(process)) {
                killedWorkers.put(worker, deadAtMs);
            }
        });
    }

    /** Wall-clock times in milliseconds at which killed workers were certainly dead. */
    public Map<String, Long> killedWorkers() {
        return Map.copyOf(killedWorkers);
    }

    /** Starts an entry VM again under the same id and addresses. */
    public void restartEntryVm(String id) {
        EntryVm vm = entryVms.get(id);
        if (vm == null) {
            throw new IllegalArgumentException("no entry VM " + id);
        }
        startEntryVm(vm);
    }

    /** Logs and histories are of no further use. */
    void deleteDirectoryAtClose() {
        deleteDirectory = true;
    }

    Path workerHistories() {
        return directory.resolve("workers");
    }

    Path endpointHistories() {
        return directory.resolve("endpoints");
    }

    @Override
    public void close() {
        children.close();
        if (deleteDirectory) {
            deleteTree(directory);
        }
    }

    private void startDataCentre(ClusterPlan.DataCentre dc) {
        startWorkers(dc, dc.name() + "-solo", 1, PLAIN);
        startWorkers(dc, dc.name() + "-plain", dc.workers() - 1, PLAIN);
        startWorkers(dc, dc.name() + "-accelerated", dc.acceleratorWorkers(), ACCELERATED);
        startEndpoints(dc);
        for (int i = 1; i <= dc.entryVms(); i++) {
            String id = dc.name() + "-vm-" + i;
            entryVms.put(id, new EntryVm(id, dc.name(), dc.region(), ports.take(), ports.take(), ports.take()));
        }
    }

    private void startWorkers(ClusterPlan.DataCentre dc, String name, int count, Resources capacity) {
        if (count == 0) {
            return;
        }
        int port = ports.takeRange(count);
        for (int i = 0; i < count; i++) {
            String id = instance(name, i, count);
            String rack = dc.name() + "-rack-" + (others.size() % ClusterPlan.RACKS + 1);
            others.add(vm(id, Kind.WORKER, dc, rack, port + i, "", 0, capacity));
            processOfWorker.put(id, name);
        }
        List<String> arguments = new ArrayList<>(List.of("worker", "--id", name));
        arguments.addAll(List.of("--port", Integer.toString(port), "--instances", Integer.toString(count)));
        arguments.addAll(List.of("--milli-cores", Long.toString(capacity.milliCores())));
        arguments.addAll(List.of("--memory-mib", Long.toString(capacity.memoryMib())));
        arguments.addAll(List.of("--accelerators", Integer.toString(capacity.accelerators())));
        arguments.addAll(List.of("--history-dir", workerHistories().toString()));
        startStandIn(name, arguments);
    }

    private void startEndpoints(ClusterPlan.DataCentre dc) {
        for (String service : ClusterPlan.SERVICES) {
            String name = dc.name() + "-" + service;
            int port = ports.takeRange(dc.endpoints());
            for (int i = 0; i < dc.endpoints(); i++) {
                String id = instance(name, i, dc.endpoints());
                others.add(vm(id, Kind.ENDPOINT, dc, "", port + i, service, SLOTS, Resources.NONE));
            }
            List<String> arguments = new ArrayList<>(List.of("endpoint", "--id", name));
            arguments.addAll(List.of("--port", Integer.toString(port)));
            arguments.addAll(List.of("--instances", Integer.toString(dc.endpoints())));
            arguments.addAll(List.of("--history-dir", endpointHistories().toString()));
            startStandIn(name, arguments);
        }
    }

    private void startVmList() {
        List<Vm> vms = new ArrayList<>(others);
        entryVms.values().forEach(vm -> vms.add(toListed(vm)));
        Path file = SettingsFiles.writeVmList(directory, vms);
        startStandIn("vm-list", List.of("vm-list", "--port", Integer.toString(vmListPort), "--vms", file.toString()));
    }

    private void startEntryVm(EntryVm vm) {
        SettingsFiles.PlatformPorts platform = new SettingsFiles.PlatformPorts(storePort, vmListPort);
        Path settings = SettingsFiles.writeEntryVm(directory, vm, entryVms(), platform);
        children.start(vm.id(), ENTRY_HEAP_MB, programs.entryDaemon(), List.of("--settings", settings.toString()));
    }

    private void startStandIn(String name, List<String> arguments) {
        children.start(name, STAND_IN_HEAP_MB, programs.standIns(), arguments);
    }

    private static Vm toListed(EntryVm vm) {
        return new Vm(
                vm.id(),
                Kind.ENTRY,
                vm.dataCentre(),
                "",
                EntryVm.HOST,
                vm.peersPort(),
                State.LIVE,
                "",
                0,
                0,
                Resources.NONE);
    }

    private static Vm vm(
            String id,
            Kind kind,
            ClusterPlan.DataCentre dc,
            String rack,
            int port,
            String service,
            int slots,
            Resources capacity) {
        int connections = slots == 0 ? 0 : CONNECTIONS;
        return new Vm(id, kind, dc.name(), rack, EntryVm.HOST, port, State.LIVE, service, slots, connections, capacity);
    }

    /** Name of an instance of a stand-in process, as the stand-in itself forms it. */
    private static String instance(String name, int index, int count) {
        return count == 1 ? name : name + "-" + (index + 1);
    }

    private static Path newDirectory(Path parent) {
        try {
            return Files.createTempDirectory(Files.createDirectories(parent), "radishspindle-");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void deleteTree(Path directory) {
        try (Stream<Path> paths = Files.walk(directory)) {
            paths.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
