import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, executors of one service, and machines of the system. */
final class Setup {
    static final String HOST = "orders.example";
    static final String PREFIX = "/jobs/";
    static final String SERVICE = "desk";
    static final long BEAT_MS = 1_500;
    /** Three heartbeat intervals of silence. */
    static final long ENTRY_MS = 3 * BEAT_MS;

    final Recorder record;
    final Path directory;
    final Store store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final List<Executor> executors = new ArrayList<>();
    final List<Daemon> machines = new ArrayList<>();
    private long version = 3;

    Setup(Path recordFile) throws IOException {
        record = new Recorder(recordFile);
        directory = Files.createTempDirectory("review");
        store = new Store(record, ENTRY_MS);
        Thread.setDefaultUncaughtExceptionHandler((thread, e) -> {
            record.add("case", "could not run: " + e);
            System.out.println("could not run: " + e);
            Daemon.endAll();
            Runtime.getRuntime().halt(2);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(Daemon::endAll));
        Http.daemon(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            record.add("case", "took too long");
            Daemon.endAll();
            Runtime.getRuntime().halt(2);
        });
        record.add("case", "trouble=" + trouble + "");
    }

    /** Writes a configuration with one queue. */
    void configure() {
        configure(PREFIX);
    }

    /** Writes a configuration with a queue for each prefix. */
    void configure(String... prefixes) {
        List<Object> routes = new ArrayList<>();
        for (String prefix : prefixes) {
            routes.add(route(prefix));
        }
        Map<String, Object> service = Json.map(
                "name", SERVICE, "health_path", "/health", "max_conns", 64, "protocol", "h1", "tls", false,
                "rejects_overload", false, "standby", false);
        Map<String, Object> limits = Json.map(
                "max_header_bytes", 16_384, "max_body_bytes", 262_144, "header_timeout_ms", 3_000,
                "idle_timeout_ms", 15_000);
        store.putAsOperator(
                "op/config",
                Json.map(
                        "version", version, "routes", routes, "services", List.of(service), "limits", limits));
        record.add("operator", "writes configuration " + version);
        version++;
    }

    private static Map<String, Object> route(String prefix) {
        return Json.map(
                "name", "queue" + prefix, "host", HOST, "prefix", prefix, "kind", "non_idempotent", "timeout_ms", 3_000,
                "slo_ms", 3_000, "priority", 1, "service", SERVICE, "max_attempts", 3, "slowdown_factor", 2.0);
    }

    /** Adds executors whose heartbeats are spread over the interval. */
    void addExecutors(int count, int cpu, Executor.Observer observer) throws IOException {
        for (int i = 0; i < count; i++) {
            executors.add(new Executor(
                    record, store, observer, "i-" + i, SERVICE, "r1-" + i / 3, cpu, BEAT_MS, i * BEAT_MS / count));
        }
    }

    /** Starts machines and waits until all are ready and the service has an owner. */
    void startMachines(int count) throws IOException, InterruptedException {
        for (int i = 0; i < count; i++) {
            machines.add(new Daemon(record, directory, "front-" + i, store.port()));
        }
        startMachines();
    }

    /** Starts the machines that were added. */
    void startMachines() throws IOException, InterruptedException {
        for (Daemon machine : machines) {
            machine.start();
        }
        long untilMs = record.nowMs() + 40_000;
        while (!(machines.stream().allMatch(Daemon::isReady) && owner() != null)) {
            if (record.nowMs() > untilMs) {
                throw new IllegalStateException("the machines were not ready in time");
            }
            Thread.sleep(100);
        }
        record.add("case", "all machines are ready");
        Thread.sleep(2_000);
    }

    /** The machine that last claimed the service; null if none holds it. The claim names the machine. */
    Daemon owner() {
        String claim = store.text("radishspindle/control/owners/" + SERVICE);
        return machines.stream().filter(machine -> claim.contains(machine.name)).findFirst().orElse(null);
    }

    Http.Response call(Daemon machine, String method, String id, String body) {
        Http.Response response = Http.call(
                machine.front, method, PREFIX + id, Map.of("Host", HOST, "Deadline-Ms", "3000"), body, 3_000);
        record.add("client", method + " " + PREFIX + id + " at " + machine.name + " " + body + " -> "
                + (response.status() == 0 ? "no answer" : response.status() + " " + response.body()));
        return response;
    }

    /** Hands a job with one step of equal tasks in. */
    void submit(Daemon machine, String id, int tasks, int cpu, long estimateMs) {
        submit(machine, id, Json.map("count", tasks, "cpu", cpu, "mem_mb", 256, "estimate_ms", estimateMs));
    }

    /** Hands a job with one step in. */
    void submit(Daemon machine, String id, Map<String, Object> step) {
        Http.Response response =
                call(machine, "POST", id, Json.write(Json.map("spec", "spec of " + id, "phases", List.of(step))));
        if (response.status() != 200) {
            throw new IllegalStateException("job " + id + " was not accepted");
        }
    }

    /** Ends everything, adds what the machines logged about the service, and exits. */
    void exit(int code, String why) throws IOException {
        Daemon.endAll();
        for (Daemon machine : machines) {
            machine.copyLog();
        }
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
        record.add("case", (code == 0 ? "the rule held: " : code == 1 ? "the rule was broken: " : "could not run: ") + why);
        System.out.println((code == 0 ? "held: " : code == 1 ? "broken: " : "could not run: ") + why);
        System.exit(code);
    }
}
