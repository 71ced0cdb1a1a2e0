import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** Stand-in of a sound executor: one lease for all runs, fence numbers, ends that are listed until they are seen. */
final class Executor {
    private static final long HEARTBEAT_MS = 1_500;
    private static final long STOP_MS = 300;
    static final long MAX_HOLD_MS = 10_000;

    private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "executor-timer");
        thread.setDaemon(true);
        return thread;
    });

    static final class Run {
        final String task;
        final long attempt;
        final String spec;
        final long startedMs = Clock.ms();
        boolean stopping;

        Run(String task, long attempt, String spec) {
            this.task = task;
            this.attempt = attempt;
            this.spec = spec;
        }
    }

    final String id;
    final String service;
    private final Store store;
    private final Record record;
    /** Work of a task in ms, by its spec; 0 for tasks that last. */
    private final ToLongFunction<String> workMs;

    private final Map<String, Object> capacity;
    private final String rack;
    private final String kind;
    private final int port;
    private Web web;
    private boolean up = true;
    private boolean dark;
    private long bornWallMs = System.currentTimeMillis();
    private long bornMs = Clock.ms();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Long> barred = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private long lastEnd;
    private long fence;
    private long leaseEndsMs;
    private long sequence;

    Executor(
            Store store,
            Record record,
            String id,
            String service,
            String kind,
            String rack,
            long cpu,
            long memMb,
            ToLongFunction<String> workMs)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.kind = kind;
        this.rack = rack;
        this.workMs = workMs;
        capacity = new LinkedHashMap<>();
        capacity.put("cpu", cpu);
        capacity.put("mem_mb", memMb);
        port = Web.freePort();
        web = new Web(this::handle, port);
        TIMER.scheduleAtFixedRate(this::register, 0, HEARTBEAT_MS, TimeUnit.MILLISECONDS);
        TIMER.scheduleAtFixedRate(this::checkLease, 20, 20, TimeUnit.MILLISECONDS);
    }

    synchronized List<String> runningTasks() {
        return List.copyOf(runs.keySet());
    }

    synchronized int listedEnds() {
        return ends.size();
    }

    /** Ends at once, as by SIGKILL: its connections are closed. */
    void crash() {
        Web ended;
        synchronized (this) {
            up = false;
            ended = web;
            for (Run run : List.copyOf(runs.values())) {
                runs.remove(run.task);
                record.add("executor " + id + " crashes under " + run.task + " attempt " + run.attempt + ", "
                        + (Clock.ms() - run.startedMs) + " ms after its start");
                record.onEnd(this, run, "crash");
            }
            ends.clear();
            barred.clear();
            lastEnd = 0;
            fence = 0;
            leaseEndsMs = 0;
            sequence = 0;
            notifyAll();
        }
        ended.stop();
    }

    /** Starts again under its id and at its address; it knows nothing of before. */
    void restart() throws IOException {
        synchronized (this) {
            up = true;
            bornWallMs = System.currentTimeMillis();
            bornMs = Clock.ms();
            web = new Web(this::handle, port);
        }
        record.add("executor " + id + " starts again");
        register();
    }

    private synchronized void register() {
        if (!up) {
            return;
        }
        Map<String, Object> entry = new LinkedHashMap<>();
        entry.put("service", service);
        entry.put("address", Web.HOST + ":" + port);
        entry.put("zone", "zone-1");
        entry.put("version", "v1");
        entry.put("slots", 8);
        entry.put("state", "ready");
        entry.put("cold_left_ms", 0);
        entry.put("seq", ++sequence);
        entry.put("born", bornWallMs);
        entry.put("capacity", capacity);
        entry.put("labels", List.of(kind, rack));
        store.put("servers/" + id, entry);
    }

    private long clockMs() {
        return 1_000 + Clock.ms() - bornMs;
    }

    private synchronized void checkLease() {
        if (!runs.isEmpty() && clockMs() >= leaseEndsMs) {
            for (Run run : List.copyOf(runs.values())) {
                end(run, "lapsed");
            }
        }
    }

    private void end(Run run, String how) {
        if (runs.get(run.task) != run) {
            return;
        }
        runs.remove(run.task);
        barred.merge(run.task, run.attempt, Math::max);
        ends.put(++lastEnd, List.of(lastEnd, run.task, run.attempt, how, ""));
        record.add("executor " + id + " ends " + run.task + " attempt " + run.attempt + ": " + how);
        record.onEnd(this, run, how);
        notifyAll();
    }

    /** Loses power for good: what it had is gone, and it is silent from now on. */
    synchronized void goDark() {
        up = false;
        dark = true;
        runs.clear();
        ends.clear();
        record.add("executor " + id + " has lost power and is silent");
        notifyAll();
    }

    private synchronized void staySilentIfDark() throws InterruptedException {
        while (dark) {
            wait();
        }
    }

    private void handle(Web.Call call) throws IOException, InterruptedException {
        staySilentIfDark();
        if (!id.equals(call.header("Target-Instance"))) {
            answer(call, 421, new LinkedHashMap<>());
            return;
        }
        Map<String, Object> order = call.body();
        synchronized (this) {
            long number = (long) order.getOrDefault("fence_token", 0L);
            if (number < fence) {
                reject(call, "fence");
                return;
            }
            fence = number;
        }
        switch (call.path) {
            case "/radishspindle/run-start" -> start(call, order);
            case "/radishspindle/run-stop" -> stop(call, order);
            case "/radishspindle/hold" -> hold(call, order);
            case "/radishspindle/pace" -> answer(call, 200, new LinkedHashMap<>());
            default -> answer(call, 404, new LinkedHashMap<>());
        }
    }

    private void answer(Web.Call call, int status, Map<String, Object> body) throws IOException, InterruptedException {
        staySilentIfDark();
        body.put("clock_ms", clockMs());
        call.answer(status, body);
    }

    private void reject(Web.Call call, String reason) throws IOException, InterruptedException {
        answer(call, 409, new LinkedHashMap<>(Map.of("reason", reason)));
    }

    private void extendLease(Object expiresMs) {
        if (expiresMs != null) {
            leaseEndsMs = Math.max(leaseEndsMs, Math.min((long) expiresMs, clockMs() + MAX_HOLD_MS));
        }
    }

    private void start(Web.Call call, Map<String, Object> order) throws IOException, InterruptedException {
        String task = (String) order.get("task");
        long attempt = (long) order.get("attempt");
        String refusal = null;
        synchronized (this) {
            Run known = runs.get(task);
            if (known != null && known.attempt == attempt) {
                extendLease(order.get("expires_ms"));
            } else if ((long) order.get("expires_ms") <= clockMs()) {
                refusal = "late";
            } else if (known != null || attempt <= barred.getOrDefault(task, 0L)) {
                extendLease(order.get("expires_ms"));
                refusal = "old";
            } else {
                extendLease(order.get("expires_ms"));
                Run run = new Run(task, attempt, (String) order.getOrDefault("spec", ""));
                runs.put(task, run);
                record.add("executor " + id + " (" + service + ") starts " + task + " attempt " + attempt + " fence "
                        + order.get("fence_token"));
                record.onStart(this, run);
                long lengthMs = workMs.applyAsLong(run.spec);
                if (lengthMs > 0) {
                    TIMER.schedule(() -> endLater(run, "done"), lengthMs, TimeUnit.MILLISECONDS);
                }
            }
        }
        if (refusal != null) {
            reject(call, refusal);
        } else {
            answer(call, 200, new LinkedHashMap<>());
        }
    }

    private synchronized void endLater(Run run, String how) {
        end(run, how);
    }

    private void stop(Web.Call call, Map<String, Object> order) throws IOException, InterruptedException {
        String task = (String) order.get("task");
        long attempt = (long) order.get("attempt");
        synchronized (this) {
            Run run = runs.get(task);
            if (run == null || run.attempt < attempt) {
                barred.merge(task, attempt, Math::max);
            } else if (run.attempt == attempt && !run.stopping) {
                run.stopping = true;
                record.add("executor " + id + " is told to stop " + task + " attempt " + attempt);
                record.onStop(this, run);
                TIMER.schedule(() -> endLater(run, "stopped"), STOP_MS, TimeUnit.MILLISECONDS);
            }
        }
        answer(call, 200, new LinkedHashMap<>());
    }

    private void hold(Web.Call call, Map<String, Object> order) throws IOException, InterruptedException {
        Map<String, Object> body = new LinkedHashMap<>();
        synchronized (this) {
            extendLease(order.get("expires_ms"));
            ends.headMap((long) order.getOrDefault("last_seen", 0L), true).clear();
            long endsMs = Clock.ms() + Math.min(2_000, (long) order.getOrDefault("wait_ms", 0L));
            while (ends.isEmpty() && Clock.ms() < endsMs) {
                wait(Math.max(1, endsMs - Clock.ms()));
            }
            List<Object> running = new ArrayList<>();
            for (Run run : runs.values()) {
                // The last figure is the processor in use, or the tail of a serving task in ms.
                running.add(List.of(run.task, run.attempt, "", 100, 1_000));
            }
            body.put("born", bornWallMs);
            body.put("running", running);
            body.put("finished", new ArrayList<>(ends.values()).subList(0, Math.min(500, ends.size())));
        }
        answer(call, 200, body);
    }
}
