import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Tasks that serve come to executors on which tasks of a step with {@code droppable} are at work. */
public final class Displaced implements Case.Script {
    private static final int TASKS = 4;
    private static final int DROPPABLE = 1;
    private static final long STARTUP_MS = 200;
    private static final String FILLING = "00000000000000f0";

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(
                1,
                List.of(Deployment.route("watch", "/watch/", "layout"), Deployment.route("shop", "/shop/", "layout")),
                "layout");
        for (int i = 0; i < TASKS; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-1", spec -> 0);
        }
        // Tasks of the filling step that run and are not told to stop, with their start; guarded by the record's lock.
        Map<String, Long> atWork = new HashMap<>();
        AtomicInteger broken = new AtomicInteger();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                if (run.task.startsWith(FILLING)) {
                    atWork.put(run.task, Clock.ms());
                }
            }

            @Override
            public void onEnd(Executor executor, Executor.Run run, String how) {
                atWork.remove(run.task);
            }

            @Override
            public void onStop(Executor executor, Executor.Run run) {
                Long startedMs = atWork.remove(run.task);
                if (startedMs == null || Clock.ms() - startedMs < STARTUP_MS) {
                    return;
                }
                int away = TASKS - 1 - atWork.size();
                if (away >= DROPPABLE) {
                    broken.incrementAndGet();
                    d.record.add("AVAIL: " + run.task + ", at work on a sound executor, is stopped while " + away
                            + " others of its step are away; droppable is " + DROPPABLE);
                }
            }
        });
        d.startVms();
        MovedRoute.submit(d, d.vms.get(0), "/watch/" + FILLING, job(Map.of("fills", true, "droppable", DROPPABLE)));
        Thread.sleep(8_000);
        if (d.runningTasks(FILLING).size() != TASKS) {
            throw new Deployment.Unable("the filling tasks are not at work");
        }
        if (d.trouble) {
            MovedRoute.submit(d, d.vms.get(1), "/shop/00000000000000e0", job(Map.of("target_ms", 200)));
        }
        Thread.sleep(10_000);
        d.record.add("tasks of the filling step that run: " + d.runningTasks(FILLING));
        return broken.get() > 0;
    }

    private static Map<String, Object> job(Map<String, Object> more) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", TASKS);
        step.put("cpu", 4_000);
        step.put("mem_mb", 1_024);
        step.put("estimate_ms", 400);
        step.put("long_running", true);
        step.put("image", more.containsKey("fills") ? "batch" : "web");
        step.putAll(more);
        return Map.of("spec", "watch", "phases", List.of(step));
    }
}
