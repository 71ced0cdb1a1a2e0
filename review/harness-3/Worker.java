import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * One executor as the pages describe it: lease, fence, list of ends, gangs. What a task does stands in its job's spec:
 * "work=MS", "gang=MEMBERS", "fails" (each run ends as failed after its work),
 * "deadly" (the executor crashes just after the start). A job whose spec has "lasting" works
 * until it is stopped. Thread-safe.
 */
final class Worker {
    private static final long MAX_HOLD_MS = 10_000;
    private static final long STOP_MS = 200;
    private static final long GANG_TIMEOUT_MS = 3_000;
    private static final long HEARTBEAT_MS = 1_500;
    private static final long TICK_MS = 5;
    /** From the start of a deadly task to the crash, and from there to the next life. */
    private static final long CRASH_MS = 20;

    private static final long BACK_MS = 3_000;

    static final class Active {
        final String task;
        final int attempt;
        final Map<String, String> spec = new HashMap<>();
        final long startedMs = nowMs();
        long workSinceMs = -1;
        long stopAtMs = Long.MAX_VALUE;

        Active(String task, int attempt, String text) {
            this.task = task;
            this.attempt = attempt;
            for (String word : text.split(" ")) {
                int equals = word.indexOf('=');
                spec.put(equals < 0 ? word : word.substring(0, equals), equals < 0 ? "" : word.substring(equals + 1));
            }
        }

        String job() {
            return task.substring(0, task.indexOf('.'));
        }

        long cpu() {
            return Long.parseLong(spec.getOrDefault("cpu", "1000"));
        }

        boolean lasts() {
            return spec.containsKey("lasting");
        }
    }

    /** What the members of gangs know of each other. */
    private static final Map<String, Integer> PRESENT = new HashMap<>();

    final String id;
    final long cpu;
    private final Store store;
    private final Recorder record;
    private final String service;
    private final List<Object> labels;
    private final HttpServer server;
    private final Map<String, Active> active = new LinkedHashMap<>();
    private final Map<String, Integer> highestEnded = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private long bornWallMs = System.currentTimeMillis();
    private long bornMs = nowMs();
    private final Map<String, Long> stoppedRuns = new HashMap<>();
    private final Map<String, Long> starts = new HashMap<>();
    private long sequence;
    private long beats;
    private long fence;
    private long leaseEndMs;
    private boolean up = true;
    /** Without power: calls get no answer. */
    private boolean dark;
    private boolean crashesSilently;
    private boolean lost;
    private int life;
    private int crashes;
    /** All that is started fails soon. */
    private volatile boolean failsStarts;

    Worker(Store store, Recorder record, String id, String service, String kind, String rack, long cpu) {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.cpu = cpu;
        labels = List.of(kind, rack);
        server = Web.serve(0, (method, path, query, body, exchange) -> handle(path, body, exchange));
        Thread thread = new Thread(this::run, id);
        thread.setDaemon(true);
        thread.start();
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    void failStarts(boolean value) {
        record.log("executor %s: %s", id, value ? "fails all that it starts" : "is sound again");
        failsStarts = value;
    }

    /**
     * The executor is lost for good; its entry stays for three heartbeats.
     *
     * @param silent whether its machine loses power, so that calls hang, instead of its process ending
     */
    void loseForGood(boolean silent) {
        record.log("executor %s: %s and is lost for good", id, silent ? "loses power" : "crashes");
        synchronized (this) {
            up = false;
            lost = true;
            dark = silent;
            active.clear();
            notifyAll();
        }
        if (!silent) {
            server.stop(0);
        }
        Thread removal = new Thread(() -> {
            try {
                Thread.sleep(3 * HEARTBEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
            store.delete("servers/" + id);
            record.log("executor %s: its entry is removed", id);
        });
        removal.setDaemon(true);
        removal.start();
    }

    /** The executor crashes and is back under its id after some seconds, with a new life that knows nothing. */
    private synchronized void crash(String task) {
        crashes++;
        record.log("executor %s: crashes under %s, %s", id, task, crashesSilently ? "silently" : "closing connections");
        up = false;
        dark = crashesSilently;
        active.clear();
        notifyAll();
        Thread back = new Thread(() -> {
            try {
                Thread.sleep(BACK_MS);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                bornWallMs = System.currentTimeMillis();
                bornMs = nowMs();
                life++;
                fence = 0;
                leaseEndMs = 0;
                sequence = 0;
                ends.clear();
                highestEnded.clear();
                up = true;
                dark = false;
                notifyAll();
            }
            record.log("executor %s: is back", id);
        });
        back.setDaemon(true);
        back.start();
    }

    /** Whether connections hang in a crash, as when the machine loses power, instead of being closed. */
    void crashSilently(boolean value) {
        crashesSilently = value;
    }

    synchronized int crashes() {
        return crashes;
    }

    synchronized boolean isUp() {
        return up;
    }

    synchronized List<Active> active() {
        return List.copyOf(active.values());
    }

    synchronized long usedCpu() {
        return active.values().stream()
                .filter(run -> !run.spec.containsKey("fills"))
                .mapToLong(Active::cpu)
                .sum();
    }

    /** Number of runs of a job that were at work here and ended by an order to stop. */
    synchronized long stoppedRuns(String job) {
        return stoppedRuns.getOrDefault(job, 0L);
    }

    /** Number of runs of a job that were started here. */
    synchronized long starts(String job) {
        return starts.getOrDefault(job, 0L);
    }

    private void run() {
        long nextBeatMs = 0;
        while (true) {
            synchronized (this) {
                if (lost) {
                    return;
                }
                if (up && nowMs() >= nextBeatMs) {
                    nextBeatMs = nowMs() + HEARTBEAT_MS;
                    register();
                }
                if (up) {
                    advance();
                }
            }
            try {
                Thread.sleep(TICK_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void register() {
        store.put(
                "servers/" + id,
                Json.object(
                        "service", service,
                        "address", Web.HOST + ":" + server.getAddress().getPort(),
                        "zone", "zone-1",
                        "version", "v1",
                        "slots", 8,
                        "state", "ready",
                        "cold_left_ms", 0,
                        "seq", ++beats,
                        "born", bornWallMs,
                        "labels", labels,
                        "capacity", Json.object("cpu", cpu, "mem_mb", 32_768, "gpus", 0)));
    }

    private long clockMs() {
        return 1_000 + nowMs() - bornMs;
    }

    private void advance() {
        long nowMs = nowMs();
        for (Active run : List.copyOf(active.values())) {
            String gang = run.job() + "@" + run.attempt;
            int members = Integer.parseInt(run.spec.getOrDefault("gang", "1"));
            if (run.workSinceMs < 0) {
                synchronized (PRESENT) {
                    if (members == 1 || PRESENT.getOrDefault(gang, 0) >= members) {
                        run.workSinceMs = nowMs;
                    }
                }
            }
            if (run.spec.containsKey("deadly") && nowMs - run.startedMs >= CRASH_MS) {
                crash(run.task);
                return;
            }
            if (clockMs() >= leaseEndMs) {
                end(run, "lapsed");
            } else if (nowMs >= run.stopAtMs) {
                end(run, "stopped");
            } else if (run.workSinceMs < 0 && nowMs - run.startedMs >= GANG_TIMEOUT_MS) {
                end(run, "alone");
            } else if (run.workSinceMs >= 0
                    && run.spec.containsKey("fails")
                    && nowMs - run.workSinceMs >= Long.parseLong(run.spec.getOrDefault("work", "100"))) {
                end(run, "failed");
            } else if (run.workSinceMs >= 0
                    && !run.lasts()
                    && nowMs - run.workSinceMs >= Long.parseLong(run.spec.getOrDefault("work", "100"))) {
                end(run, "done");
            }
        }
    }

    private void end(Active run, String how) {
        active.remove(run.task);
        synchronized (PRESENT) {
            PRESENT.merge(run.job() + "@" + run.attempt, -1, Integer::sum);
        }
        if (how.equals("stopped")) {
            stoppedRuns.merge(run.job(), 1L, Long::sum);
        }
        highestEnded.merge(run.task, run.attempt, Math::max);
        ends.put(++sequence, List.of(sequence, run.task, run.attempt, how, ""));
        record.log("executor %s: run %s attempt %d ends %s", id, run.task, run.attempt, how);
        notifyAll();
    }

    private Web.Answer handle(String path, String body, HttpExchange exchange) throws InterruptedException {
        Map<String, Object> call = Json.parseObject(body);
        synchronized (this) {
            if (!up) {
                return gone();
            }
            if (!id.equals(exchange.getRequestHeaders().getFirst("Target-Instance"))) {
                return new Web.Answer(421, Json.object("clock_ms", clockMs()));
            }
            long token = Json.number(call, "fence_token");
            if (token < fence) {
                return refuse("fence");
            }
            fence = token;
            return switch (path) {
                case "/radishspindle/run-start" -> start(call);
                case "/radishspindle/run-stop" -> stop(call);
                case "/radishspindle/hold" -> hold(call);
                case "/radishspindle/pace" -> new Web.Answer(200, Json.object("clock_ms", clockMs()));
                default -> new Web.Answer(404, Json.object());
            };
        }
    }

    /** A call to an earlier life, or to one that has ended: its connection is closed, later if that was silent. */
    private Web.Answer gone() throws InterruptedException {
        while (dark) {
            wait();
        }
        return new Web.Answer(0, Json.object());
    }

    private Web.Answer refuse(String reason) {
        return new Web.Answer(409, Json.object("clock_ms", clockMs(), "reason", reason));
    }

    private void extend(long expiresMs) {
        leaseEndMs = Math.max(leaseEndMs, Math.min(expiresMs, clockMs() + MAX_HOLD_MS));
    }

    private Web.Answer start(Map<String, Object> call) {
        String task = Json.text(call, "task");
        int attempt = (int) Json.number(call, "attempt");
        Active present = active.get(task);
        if (present != null && present.attempt == attempt) {
            return new Web.Answer(200, Json.object("clock_ms", clockMs()));
        }
        if (Json.number(call, "expires_ms") <= clockMs()) {
            return refuse("late");
        }
        extend(Json.number(call, "expires_ms"));
        if (present != null || attempt <= highestEnded.getOrDefault(task, 0)) {
            return refuse("old");
        }
        Active run = new Active(task, attempt, Json.text(call, "spec"));
        if (failsStarts) {
            run.spec.put("fails", "");
            run.spec.put("work", "100");
        }
        active.put(task, run);
        starts.merge(run.job(), 1L, Long::sum);
        synchronized (PRESENT) {
            PRESENT.merge(run.job() + "@" + attempt, 1, Integer::sum);
        }
        record.log("executor %s: run %s attempt %d starts; cpu in use %d of %d", id, task, attempt, usedCpu(), cpu);
        return new Web.Answer(200, Json.object("clock_ms", clockMs()));
    }

    private Web.Answer stop(Map<String, Object> call) {
        String task = Json.text(call, "task");
        int attempt = (int) Json.number(call, "attempt");
        Active run = active.get(task);
        highestEnded.merge(task, attempt, Math::max);
        if (run != null && run.attempt <= attempt) {
            record.log("executor %s: run %s attempt %d is told to stop", id, task, attempt);
            run.stopAtMs = Math.min(run.stopAtMs, nowMs() + STOP_MS);
        }
        return new Web.Answer(200, Json.object("clock_ms", clockMs()));
    }

    private Web.Answer hold(Map<String, Object> call) throws InterruptedException {
        if (call.containsKey("expires_ms")) {
            extend(Json.number(call, "expires_ms"));
        }
        ends.headMap(Json.number(call, "last_seen"), true).clear();
        long endMs = nowMs() + Json.number(call, "wait_ms");
        int called = life;
        while (up && life == called && ends.isEmpty() && nowMs() < endMs) {
            wait(Math.max(1, endMs - nowMs()));
        }
        if (!up || life != called) {
            return gone();
        }
        List<Object> running = new ArrayList<>();
        for (Active run : active.values()) {
            long gauge = run.spec.containsKey("serves") ? 20 : run.workSinceMs < 0 ? 0 : run.cpu();
            running.add(List.of(run.task, run.attempt, "", 100, gauge));
        }
        return new Web.Answer(
                200,
                Json.object(
                        "clock_ms", clockMs(),
                        "born", bornWallMs,
                        "running", running,
                        "finished", new ArrayList<Object>(ends.values())));
    }
}
