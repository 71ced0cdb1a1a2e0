import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

/** A small deployment: a store, executors and daemons on loopback. */
final class Deployment implements AutoCloseable {
    /** The case couldn't run. */
    static final class Unable extends Exception {
        private static final long serialVersionUID = 1L;

        Unable(String message) {
            super(message);
        }
    }

    final Record record;
    final Store store;
    final Client client;
    final List<Vm> vms = new ArrayList<>();
    final List<Executor> executors = new ArrayList<>();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;

    Deployment(Path recordFile, int vmCount) throws IOException {
        record = new Record(recordFile);
        record.add(trouble ? "with the disruption" : "without the disruption");
        store = new Store();
        client = new Client(record);
        folder = Files.createTempDirectory("review-2-");
        for (int i = 1; i <= vmCount; i++) {
            vms.add(new Vm(root, folder, "frontend-" + i, store.address()));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::kill)));
    }

    static Map<String, Object> route(String name, String prefix, String service) {
        Map<String, Object> route = new LinkedHashMap<>();
        route.put("name", name);
        route.put("host", Client.HOST);
        route.put("prefix", prefix);
        route.put("service", service);
        route.put("timeout_ms", 3_000);
        route.put("priority", 1);
        route.put("max_attempts", 3);
        route.put("slowdown_factor", 3.0);
        route.put("slo_ms", 3_000);
        return route;
    }

    void configure(long version, List<Map<String, Object>> routes, String... services) {
        List<Object> rows = new ArrayList<>();
        for (String service : services) {
            rows.add(Map.of("name", service, "rejects_overload", false));
        }
        Map<String, Object> config = new LinkedHashMap<>();
        config.put("version", version);
        config.put("routes", routes);
        config.put("services", rows);
        config.put("limits", Map.of("max_body_bytes", 262_144));
        store.put("op/config", config);
        record.add("operator writes configuration " + version + ": "
                + routes.stream()
                        .map(route -> route.get("prefix") + " -> " + route.get("service"))
                        .toList());
    }

    /** Starts an executor; {@code workMs} tells the work of a task by its spec, 0 for tasks that last. */
    Executor addExecutor(String id, String service, String rack, ToLongFunction<String> workMs) throws IOException {
        return addExecutor(id, service, "a", rack, workMs);
    }

    Executor addExecutor(String id, String service, String kind, String rack, ToLongFunction<String> workMs)
            throws IOException {
        Executor executor = new Executor(store, record, id, service, kind, rack, 16_000, 32_768, workMs);
        executors.add(executor);
        return executor;
    }

    /** Tasks of a job that run on any executor. */
    List<String> runningTasks(String jobId) {
        return executors.stream()
                .flatMap(executor -> executor.runningTasks().stream())
                .filter(task -> task.startsWith(jobId + "."))
                .toList();
    }

    /** Ends that executors list and that nobody has taken note of. */
    int listedEnds() {
        return executors.stream().mapToInt(Executor::listedEnds).sum();
    }

    void startVms() throws IOException, InterruptedException, Unable {
        for (Vm vm : vms) {
            vm.start();
        }
        long endMs = Clock.ms() + 30_000;
        for (Vm vm : vms) {
            while (!Client.isReady(vm)) {
                if (Clock.ms() > endMs || !vm.isRunning()) {
                    throw new Unable(vm.id + " is not ready:\n" + vm.log());
                }
                Thread.sleep(100);
            }
        }
        record.add("all daemons are ready");
    }

    /** The owner of a pool, by the store. */
    Vm owner(String service) throws Unable {
        byte[] value = store.value("radishspindle/control/owners/" + service);
        String text = value == null ? "" : new String(value, java.nio.charset.StandardCharsets.ISO_8859_1);
        return vms.stream()
                .filter(vm -> text.contains(vm.id))
                .findFirst()
                .orElseThrow(() -> new Unable("no owner of " + service));
    }

    @Override
    public void close() throws IOException {
        vms.forEach(Vm::kill);
        String kept = System.getenv("KEEP_LOGS");
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                if (kept != null && Files.isRegularFile(file)) {
                    Files.copy(
                            file,
                            Path.of(kept).resolve(file.getFileName()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.delete(file);
            }
        }
    }
}
