import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** One job of many steps repeats often; afterwards a small job is handed in. */
public final class BigProgress implements Case.Script {
    private static final int STEPS = 100;
    private static final int MANY_REPEATS = 230;
    private static final int FEW_REPEATS = 150;
    private static final long PERIOD_MS = 350;
    private static final long FINISH_MS = 14_000;

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("orders", "/orders/", "layout")), "layout");
        for (int i = 0; i < 4; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-1", MovedRoute::workMs);
        }
        String small = "00000000000000c0";
        Set<String> started = ConcurrentHashMap.newKeySet();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                if (run.task.startsWith(small)) {
                    started.add(run.task);
                }
            }
        });
        d.startVms();
        String large = "00000000000000b0";
        MovedRoute.submit(d, d.vms.get(0), "/orders/" + large, large(d.trouble ? MANY_REPEATS : FEW_REPEATS));
        while (Clock.ms() < 85_000) {
            Thread.sleep(5_000);
            byte[] progress = d.store.value("radishspindle/progress/layout/" + large);
            d.record.add("the progress of the large job takes " + (progress == null ? 0 : progress.length)
                    + " bytes in the store; the executors list " + d.listedEnds() + " ends");
        }
        MovedRoute.submit(d, d.vms.get(1), "/orders/" + small, small());
        long acceptedMs = Clock.ms();
        Thread.sleep(FINISH_MS);
        for (String id : List.of(large, small)) {
            d.client.call("GET", d.vms.get(2), "/orders/" + id, null);
        }
        int listed = d.listedEnds();
        d.record.add("the executors list " + listed + " ends that nobody has taken note of, and run "
                + d.executors.stream()
                        .mapToInt(executor -> executor.runningTasks().size())
                        .sum()
                + " tasks");
        boolean broken = started.isEmpty();
        if (broken) {
            d.record.add("LOST: no task of the small job has started in " + (Clock.ms() - acceptedMs)
                    + " ms, though the executors are idle");
        }
        return broken;
    }

    private static Map<String, Object> small() {
        return Map.of("spec", "work 300", "phases", List.of(step(4, 1_000, 300)));
    }

    private static Map<String, Object> large(int repeats) {
        List<Object> steps = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            steps.add(step(1, 100, 50));
        }
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", "work 50");
        job.put("phases", steps);
        job.put("repeats", repeats);
        job.put("start_at_ms", System.currentTimeMillis());
        job.put("period_ms", PERIOD_MS);
        return job;
    }

    private static Map<String, Object> step(int count, int cpu, int estimateMs) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", count);
        step.put("cpu", cpu);
        step.put("mem_mb", 16);
        step.put("estimate_ms", estimateMs);
        return step;
    }
}
