import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A queue is sent to another service while its jobs are known, and a submission arrives again. */
public final class MovedRoute implements Case.Script {
    private static final long CONFIG_APPLY_MS = 2_500;
    private static final long VISIBLE_MS = 3_000;

    @Override
    public boolean run(Deployment d) throws Exception {
        Map<String, Object> other = Deployment.route("other", "/other/", "imaging");
        d.configure(1, List.of(Deployment.route("orders", "/orders/", "layout"), other), "layout", "imaging");
        for (int i = 0; i < 3; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-1", MovedRoute::workMs);
            d.addExecutor("imaging-" + i, "imaging", "r2-1", MovedRoute::workMs);
        }
        Set<String> done = ConcurrentHashMap.newKeySet();
        Set<String> startedAfterDone = ConcurrentHashMap.newKeySet();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                if (done.contains(run.task)) {
                    startedAfterDone.add(run.task);
                }
            }

            @Override
            public void onEnd(Executor executor, Executor.Run run, String how) {
                if (how.equals("done")) {
                    done.add(run.task);
                }
            }
        });
        d.startVms();
        Vm first = d.vms.get(0);
        Vm second = d.vms.get(1);
        String id = "5c0e7a21d94b36f8";
        String path = "/orders/" + id;
        Map<String, Object> job = job();
        submit(d, first, path, job);
        long acceptedMs = Clock.ms();
        while (!d.client.call("GET", second, path, null).text().contains("completed")) {
            if (Clock.ms() - acceptedMs > 15_000) {
                throw new Deployment.Unable("the job has not completed");
            }
            Thread.sleep(500);
        }
        // Version 2 removes the route and adds one with the same prefix.
        String target = d.trouble ? "imaging" : "layout";
        d.configure(2, List.of(Deployment.route("orders-2", "/orders/", target), other), "layout", "imaging");
        Thread.sleep(Math.max(CONFIG_APPLY_MS + 100, acceptedMs + VISIBLE_MS + 100 - Clock.ms()));

        boolean lost = false;
        for (Vm vm : d.vms) {
            lost |= d.client.call("GET", vm, path, null).status() == 410;
        }
        if (lost) {
            d.record.add("LOST: an accepted job that nobody has cancelled is answered 410");
        }
        // The client's network delivers the submission once more, as PROTOCOL says it may.
        d.client.call("POST", second, path, job);
        Thread.sleep(5_000);
        if (!startedAfterDone.isEmpty()) {
            d.record.add("TWICE: started after a run had ended done and its job was shown as completed: "
                    + startedAfterDone);
        }
        return !startedAfterDone.isEmpty();
    }

    private static Map<String, Object> job() {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", 2);
        step.put("cpu", 1_500);
        step.put("mem_mb", 512);
        step.put("estimate_ms", 700);
        return Map.of("spec", "work 700", "phases", List.of(step));
    }

    static void submit(Deployment d, Vm vm, String path, Map<String, Object> job) throws Exception {
        long endMs = Clock.ms() + 15_000;
        while (d.client.call("POST", vm, path, job).status() != 200) {
            if (Clock.ms() > endMs) {
                throw new Deployment.Unable("the job was not accepted");
            }
            Thread.sleep(1_000);
        }
    }

    static long workMs(String spec) {
        return Long.parseLong(spec.split(" ")[1]);
    }
}
