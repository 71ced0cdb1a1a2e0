import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An executor is lost for good; jobs that need its label arrive before the daemons notice. */
public final class UncountedJobs implements Case.Script {
    private static final int EXECUTORS = 7;
    private static final int JOBS = 8;
    private static final long VISIBLE_MS = 3_000;
    private static final long PENDING_AGE_MS = 2_000;

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("orders", "/orders/", "layout")), "layout");
        for (int i = 1; i < EXECUTORS; i++) {
            d.addExecutor("layout-" + i, "layout", "a", "r1-" + i / 5, spec -> 300);
        }
        Executor only = d.addExecutor("layout-0", "layout", "b", "r1-0", spec -> 300);
        Set<String> begun = ConcurrentHashMap.newKeySet();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                begun.add(run.task.substring(0, run.task.indexOf('.')));
            }
        });
        d.startVms();
        MovedRoute.submit(d, d.vms.get(0), "/orders/00000000000000a0", job());
        Thread.sleep(6_000);
        if (!begun.contains("00000000000000a0")) {
            throw new Deployment.Unable("the first job has not begun");
        }
        if (d.trouble) {
            only.goDark();
        }
        for (int i = 0; i < JOBS; i++) {
            Client.Answer answer = d.client.call("POST", d.vms.get(i % 3), "/orders/00000000000000b" + i, job());
            if (answer.status() != 200) {
                throw new Deployment.Unable("a job was not accepted");
            }
        }
        long acceptedMs = Clock.ms();
        boolean broken = false;
        for (long afterMs : List.of(6_000L, 9_000L, 12_000L, 15_000L)) {
            Thread.sleep(Math.max(0, acceptedMs + VISIBLE_MS + PENDING_AGE_MS + afterMs - 5_000 - Clock.ms()));
            for (Vm vm : d.vms) {
                Client.Answer answer = d.client.call("GET", vm, "/orders/", null);
                long waiting = JOBS + 1 - begun.size();
                if (answer.status() == 200 && 2 * (long) answer.body().get("pending") < waiting) {
                    broken = true;
                    d.record.add("MIXED: " + answer.body().get("pending") + " jobs are said to wait; " + waiting
                            + " were accepted over " + (Clock.ms() - acceptedMs) + " ms before and haven't begun");
                }
            }
        }
        return broken;
    }

    private static Map<String, Object> job() {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", 1);
        step.put("cpu", 1_000);
        step.put("mem_mb", 512);
        step.put("estimate_ms", 300);
        step.put("constraints", "b");
        return Map.of("spec", "preview", "phases", List.of(step));
    }
}
