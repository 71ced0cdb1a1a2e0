import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Jobs that repeat many times come at once. */
public final class EndlessRepeats implements Case.Script {
    private static final int JOBS = 6;
    private static final int MANY = 50_000;
    private static final int FEW = 50;
    private static final long FINISH_MS = 14_000;

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("orders", "/orders/", "layout")), "layout");
        for (int i = 0; i < 6; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-1", MovedRoute::workMs);
        }
        Set<String> started = ConcurrentHashMap.newKeySet();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                started.add(run.task.substring(0, run.task.indexOf('.')));
            }
        });
        d.startVms();
        MovedRoute.submit(d, d.vms.get(0), "/orders/00000000000000a0", job(1));
        for (int i = 0; i < JOBS; i++) {
            MovedRoute.submit(d, d.vms.get(i % 3), "/orders/00000000000000b" + i, job(d.trouble ? MANY : FEW));
        }
        long acceptedMs = Clock.ms();
        Thread.sleep(FINISH_MS);
        List<String> forgotten = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = "00000000000000b" + i;
            d.client.call("GET", d.vms.get(i % 3), "/orders/" + id, null);
            if (!started.contains(id)) {
                forgotten.add(id);
            }
        }
        for (Vm vm : d.vms) {
            d.record.add(vm.id + (vm.isRunning() ? " runs" : " has ended with " + vm.exitCode()) + ", "
                    + vm.log().lines().filter(line -> line.contains("OutOfMemory")).count()
                    + " lines of its log tell of exhausted memory");
        }
        if (!forgotten.isEmpty()) {
            d.record.add("LOST: no task of these accepted jobs has started in " + (Clock.ms() - acceptedMs)
                    + " ms, though an occurrence was due each second and the executors are idle: " + forgotten);
        }
        return !forgotten.isEmpty();
    }

    private static Map<String, Object> job(int repeats) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", 1);
        step.put("cpu", 500);
        step.put("mem_mb", 256);
        step.put("estimate_ms", 300);
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", "work 300");
        job.put("phases", List.of(step));
        if (repeats > 1) {
            job.put("repeats", repeats);
            job.put("start_at_ms", System.currentTimeMillis());
            job.put("period_ms", 1_000);
        }
        return job;
    }
}
