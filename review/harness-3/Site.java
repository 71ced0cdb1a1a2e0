import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A small deployment: two or more machines of the system, one service, stand-ins for its executors and the store, and a
 * client. Used by one thread.
 */
final class Site implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static final String SERVICE = "press";
    private static final String HOST = "press.example";
    private static final int MACHINES = 2;
    private static final long START_LIMIT_MS = 20_000;

    /** A case; returns one of the exit codes. */
    interface Case {
        int run(Site site, boolean trouble) throws Exception;
    }

    /** An answer to the client; status 0 stands for none. */
    record Reply(int status, String body) {}

    final Recorder record;
    final Store store = new Store();
    final List<Worker> workers = new ArrayList<>();
    private final HttpServer advice;
    private final List<Daemon> daemons = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int nextDaemon;

    private Site(Path root, Path temporary, Recorder record) throws IOException {
        this.record = record;
        advice = Web.serve(0, (method, path, query, body, exchange) -> new Web.Answer(503, Json.object()));
        for (int i = 1; i <= MACHINES; i++) {
            daemons.add(new Daemon(
                    root,
                    temporary,
                    "frontend-" + i,
                    "zone-" + i,
                    store.port(),
                    advice.getAddress().getPort()));
        }
    }

    /** Ends the machines also if the case is ended by a signal. */
    private void endWithThisProcess() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs a case and exits: args are the repository, the folder of the case, and a temporary folder. */
    static void main(String[] args, Case test) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = COULD_NOT_RUN;
        try (Recorder record = new Recorder(Path.of(args[1], "record.txt"));
                Site site = new Site(Path.of(args[0]), Path.of(args[2]), record)) {
            site.endWithThisProcess();
            record.log("trouble: %s", trouble ? "on" : "off");
            try {
                code = test.run(site, trouble);
            } catch (IOException | RuntimeException e) {
                record.log("could not run: %s", e);
                site.copyLogLines("event=start-failed", "level=ERROR");
            }
            if (site.daemons.stream().anyMatch(daemon -> !daemon.isAlive())) {
                record.log("a machine's process has ended");
            }
            record.log("exit %d", code);
        } catch (IOException | RuntimeException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    /** One queue of the configuration. */
    static Map<String, Object> route(String name, int priority, int maxAttempts) {
        return Json.object(
                "name", name,
                "host", HOST,
                "prefix", "/" + name + "/",
                "service", SERVICE,
                "priority", priority,
                "max_attempts", maxAttempts,
                "slowdown_factor", 3.0,
                "slo_ms", 3_000);
    }

    void configure(List<Object> routes) {
        store.put(
                "op/config",
                Json.object(
                        "version", 3,
                        "routes", routes,
                        "services", List.of(Json.object("name", SERVICE, "rejects_overload", false)),
                        "limits", Json.object()));
    }

    Worker addWorker(String id, String kind, String rack, long cpu) {
        Worker worker = new Worker(store, record, id, SERVICE, kind, rack, cpu);
        workers.add(worker);
        return worker;
    }

    /** Starts the machines and waits until they are ready. */
    void start() throws Exception {
        for (Daemon daemon : daemons) {
            daemon.start();
        }
        long endMs = record.nowMs() + START_LIMIT_MS;
        while (!daemons.stream().allMatch(Daemon::isReady)) {
            if (record.nowMs() > endMs) {
                throw new IOException("the machines did not become ready");
            }
            Thread.sleep(100);
        }
        record.log("all machines are ready");
    }

    /** Has a task run on each executor once, so that the system knows and has recorded all of them. */
    void warmUp(String queue) throws Exception {
        String id = "00000000000000ff";
        submit(queue, id, "work=300 cpu=1000", step(workers.size(), 1_000, "anti_affinity", 1));
        if (!awaitState(queue, id, "completed", 15_000)) {
            throw new IOException("the system did not use all executors");
        }
    }

    /** A step with these fields besides its count. */
    static Map<String, Object> step(int count, long cpu, Object... more) {
        Map<String, Object> step = new LinkedHashMap<>(
                Json.object("count", count, "cpu", cpu, "mem_mb", 256, "estimate_ms", 1_000));
        step.putAll(Json.object(more));
        return step;
    }

    /** Hands in a job, again until it is accepted. */
    void submit(String queue, String id, String spec, Map<String, Object> step) throws Exception {
        String body = Json.write(Json.object("spec", spec, "phases", List.of(step)));
        for (int attempt = 0; attempt < 5; attempt++) {
            Reply reply = call("POST", "/" + queue + "/" + id, body);
            if (reply.status() == 200) {
                return;
            }
            Thread.sleep(1_000);
        }
        throw new IOException("job " + id + " was not accepted");
    }

    String state(String queue, String id) throws Exception {
        Reply reply = call("GET", "/" + queue + "/" + id, null);
        return reply.status() == 200 ? Json.text(Json.parseObject(reply.body()), "state") : "status " + reply.status();
    }

    void cancel(String queue, String id) throws Exception {
        call("DELETE", "/" + queue + "/" + id, null);
    }

    /** Calls the machines in turn. */
    Reply call(String method, String path, String body) throws InterruptedException {
        return call(daemons.get(nextDaemon++ % daemons.size()), method, path, body);
    }

    List<Daemon> machines() {
        return daemons;
    }

    Reply call(Daemon daemon, String method, String path, String body) throws InterruptedException {
        HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        // The system reads the host and not the address of the connection.
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + Web.HOST + ":" + daemon.front() + path))
                .method(method, publisher)
                .header("Host", HOST)
                .header("Content-Type", "application/json")
                .header("Deadline-Ms", "3000")
                .timeout(Duration.ofMillis(3_000))
                .build();
        Reply reply;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            reply = new Reply(0, String.valueOf(e.getMessage()));
        }
        record.log("client: %s %s at %s -> %d %s", method, path, daemon.id, reply.status(), reply.body());
        return reply;
    }

    /** Waits until all executors together have started so many runs of a job that are active now. */
    boolean awaitActive(String job, int count, long limitMs) throws InterruptedException {
        long endMs = record.nowMs() + limitMs;
        while (active(job) < count) {
            if (record.nowMs() > endMs) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }

    boolean awaitState(String queue, String id, String wanted, long limitMs) throws Exception {
        long endMs = record.nowMs() + limitMs;
        while (!state(queue, id).equals(wanted)) {
            if (record.nowMs() > endMs) {
                return false;
            }
            Thread.sleep(250);
        }
        return true;
    }

    /** Number of runs of a job that executors have now. */
    long active(String job) {
        return workers.stream()
                .flatMap(worker -> worker.active().stream())
                .filter(run -> run.job().equals(job))
                .count();
    }

    /** Free capacity of the executors that are up, among those of these ids; all if there are none. */
    long freeCpu(Set<String> ids, long unit) {
        long units = 0;
        for (Worker worker : workers) {
            if (worker.isUp() && (ids.isEmpty() || ids.contains(worker.id))) {
                units += Math.max(0, worker.cpu - worker.usedCpu()) / unit;
            }
        }
        return units * unit;
    }

    long capacity() {
        return workers.stream().filter(Worker::isUp).mapToLong(worker -> worker.cpu).sum();
    }

    long usedCpu() {
        return workers.stream().filter(Worker::isUp).mapToLong(Worker::usedCpu).sum();
    }

    /**
     * Watches the executors for up to {@code forMs}; returns whether there were 3 s in which a job had nothing running
     * beside capacity for twice its task.
     *
     * @param ids executors that may run it; all if empty
     * @param onlyBelowHalf whether under half of the service's capacity has to be in use
     */
    boolean waitsBesideRoom(String job, long cpu, Set<String> ids, boolean onlyBelowHalf, long forMs)
            throws InterruptedException {
        long endMs = record.nowMs() + forMs;
        long sinceMs = -1;
        while (record.nowMs() < endMs) {
            boolean waits = active(job) == 0
                    && freeCpu(ids, cpu) >= 2 * cpu
                    && (!onlyBelowHalf || 2 * usedCpu() < capacity());
            if (!waits) {
                sinceMs = -1;
            } else if (sinceMs < 0) {
                sinceMs = record.nowMs();
            } else if (record.nowMs() - sinceMs > 3_000) {
                record.log(
                        "check: job %s has had nothing running for 3 s; free cpu %d, a task takes %d, in use %d of %d",
                        job, freeCpu(ids, cpu), cpu, usedCpu(), capacity());
                return true;
            }
            Thread.sleep(20);
        }
        return false;
    }

    /** The lines of the machines' logs that hold a word, for the record. */
    void copyLogLines(String... words) throws IOException {
        for (Daemon daemon : daemons) {
            for (String line : daemon.logText().split("\n")) {
                for (String word : words) {
                    if (line.contains(word)) {
                        record.log("log of %s: %s", daemon.id, line);
                        break;
                    }
                }
            }
        }
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
    }
}
