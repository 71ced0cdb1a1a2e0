import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An executor as PROTOCOL.md describes it: runs under one lease on its own clock, fence numbers, ends that are listed
 * until they are taken note of. It starts whatever it is told to start. Thread-safe.
 */
final class Executor {
    /** Decides how long tasks run, and sees what the executor does. */
    interface Observer {
        /** Time that a run takes; it ends as done. */
        long workMs(String task);

        /** Figure for the last half second: processor use, or the tail of response times in milliseconds. */
        long gauge(String task);

        void onStart(Executor executor, String task, int attempt);

        void onEnd(Executor executor, String task, int attempt, String how);
    }

    private static final class Run {
        int attempt;
        long endsMs;
        long stopsMs = Long.MAX_VALUE;
    }

    private static final long MAX_HOLD_MS = 10_000;
    private static final long STOP_MS = 200;

    final String id;
    private final Recorder record;
    private final Store store;
    private final Observer observer;
    private final String service;
    private final long beatMs;
    private final String rack;
    private int cpu;
    private String kind;
    private Http.Server server;
    private final int port;
    private boolean up;
    private long bornWallMs;
    private long bornMs;
    private long leaseEndsMs;
    private long fence;
    private long lastEnd;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Integer> barred = new LinkedHashMap<>();
    private final TreeMap<Long, List<Object>> finished = new TreeMap<>();

    Executor(
            Recorder record,
            Store store,
            Observer observer,
            String id,
            String service,
            String rack,
            int cpu,
            long beatMs,
            long firstBeatMs)
            throws IOException {
        this.record = record;
        this.store = store;
        this.observer = observer;
        this.id = id;
        this.service = service;
        this.rack = rack;
        this.beatMs = beatMs;
        port = Http.freePort();
        boot(cpu, "a", firstBeatMs);
        Http.daemon(this::watchRuns);
    }

    /** Starts a new life at the same address and under the same id; nothing of before is known. */
    synchronized void boot(int capacity, String newKind, long firstBeatMs) throws IOException {
        cpu = capacity;
        kind = newKind;
        bornWallMs = System.currentTimeMillis();
        bornMs = record.nowMs();
        leaseEndsMs = 0;
        fence = 0;
        lastEnd = 0;
        running.clear();
        barred.clear();
        finished.clear();
        server = new Http.Server(port, this::handle);
        up = true;
        record.add(id, "boots with cpu=" + cpu + " kind=" + kind);
        long life = bornMs;
        Http.daemon(() -> beat(life, firstBeatMs));
    }

    /** Dies at once: its connections are reset and everything that runs ends; returns how much ran. */
    int crash() {
        int lost;
        synchronized (this) {
            up = false;
            lost = running.size();
            running.clear();
            notifyAll();
            record.add(id, "crashes with " + lost + " runs");
        }
        server.stop();
        return lost;
    }

    synchronized int cpu() {
        return cpu;
    }

    synchronized String kind() {
        return kind;
    }

    synchronized boolean isUp() {
        return up;
    }

    private void beat(long life, long firstBeatMs) {
        try {
            Thread.sleep(firstBeatMs);
            while (true) {
                synchronized (this) {
                    if (!up || life != bornMs) {
                        return;
                    }
                    store.beat(id, entry());
                }
                Thread.sleep(beatMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Map<String, Object> entry() {
        return Json.map(
                "service", service,
                "address", Http.HOST + ":" + port,
                "zone", "zone-a",
                "version", "v1",
                "slots", 8,
                "state", "ready",
                "cold_left_ms", 0,
                "capacity", Json.map("cpu", cpu, "mem_mb", 32_768, "gpus", 0),
                "labels", List.of(kind, rack),
                "born", bornWallMs);
    }

    private void watchRuns() {
        try {
            while (true) {
                Thread.sleep(5);
                synchronized (this) {
                    long nowMs = record.nowMs();
                    for (String task : List.copyOf(running.keySet())) {
                        Run run = running.get(task);
                        if (run.endsMs <= nowMs) {
                            end(task, run, "done");
                        } else if (run.stopsMs <= nowMs) {
                            end(task, run, "stopped");
                        } else if (leaseEndsMs <= clockMs()) {
                            end(task, run, "lapsed");
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void end(String task, Run run, String how) {
        running.remove(task);
        barred.merge(task, run.attempt, Math::max);
        lastEnd++;
        finished.put(lastEnd, List.of(lastEnd, task, run.attempt, how, ""));
        record.add(id, "run " + task + " attempt " + run.attempt + " ends " + how);
        observer.onEnd(this, task, run.attempt, how);
        notifyAll();
    }

    private long clockMs() {
        return 1_000 + record.nowMs() - bornMs;
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        synchronized (this) {
            if (!up) {
                return null;
            }
            if (!id.equals(request.headers().get("Target-Instance"))) {
                return answer(421, Json.map());
            }
            Map<String, Object> order = Json.object(request.body());
            long token = Json.integer(order, "fence_token");
            if (token < fence) {
                record.add(id, "refuses fence " + token + " after " + fence);
                return answer(409, Json.map("reason", "fence"));
            }
            fence = token;
            return switch (request.path()) {
                case "/radishspindle/run-start" -> start(order);
                case "/radishspindle/run-stop" -> stop(order);
                case "/radishspindle/hold" -> hold(order);
                default -> answer(404, Json.map());
            };
        }
    }

    private Http.Response answer(int status, Map<String, Object> body) {
        body.put("clock_ms", clockMs());
        return new Http.Response(status, Json.write(body));
    }

    private void extend(Map<String, Object> order) {
        long endsMs = Json.integer(order, "expires_ms");
        if (endsMs > 0) {
            leaseEndsMs = Math.max(leaseEndsMs, Math.min(endsMs, clockMs() + MAX_HOLD_MS));
        }
    }

    private Http.Response start(Map<String, Object> order) {
        String task = Json.text(order, "task");
        int attempt = (int) Json.integer(order, "attempt");
        Run present = running.get(task);
        if (present != null && present.attempt == attempt) {
            extend(order);
            return answer(200, Json.map());
        }
        if (Json.integer(order, "expires_ms") <= clockMs()) {
            return answer(409, Json.map("reason", "late"));
        }
        extend(order);
        if (present != null || attempt <= barred.getOrDefault(task, 0)) {
            return answer(409, Json.map("reason", "old"));
        }
        Run run = new Run();
        run.attempt = attempt;
        run.endsMs = record.nowMs() + observer.workMs(task);
        running.put(task, run);
        record.add(id, "starts run " + task + " attempt " + attempt + " fence " + fence);
        observer.onStart(this, task, attempt);
        return answer(200, Json.map());
    }

    private Http.Response stop(Map<String, Object> order) {
        String task = Json.text(order, "task");
        int attempt = (int) Json.integer(order, "attempt");
        Run run = running.get(task);
        record.add(id, "is told to stop run " + task + " attempt " + attempt);
        if (run != null && run.attempt == attempt) {
            run.stopsMs = Math.min(run.stopsMs, record.nowMs() + STOP_MS);
        } else if (run == null) {
            barred.merge(task, attempt, Math::max);
        }
        return answer(200, Json.map());
    }

    private Http.Response hold(Map<String, Object> order) throws InterruptedException {
        extend(order);
        long seen = Json.integer(order, "last_seen");
        for (List<Object> end : List.copyOf(finished.headMap(seen, true).values())) {
            record.add(id, "end of " + end.get(1) + " attempt " + end.get(2) + " (" + end.get(3) + ") is taken note of");
        }
        finished.headMap(seen, true).clear();
        long life = bornMs;
        long untilMs = record.nowMs() + Json.integer(order, "wait_ms");
        while (finished.isEmpty() && up && life == bornMs && record.nowMs() < untilMs) {
            wait(Math.max(1, untilMs - record.nowMs()));
        }
        if (!up || life != bornMs) {
            return null;
        }
        List<Object> active = new ArrayList<>();
        running.forEach((task, run) -> active.add(List.of(task, run.attempt, "", 100, observer.gauge(task))));
        List<Object> ends = new ArrayList<>(finished.values());
        return answer(200, Json.map("born", bornWallMs, "running", active, "finished", ends));
    }
}
