import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A standing job of many tasks is handed in, then a small one. */
public final class WideStep implements Case.Script {
    private static final int EXECUTORS = 60;
    private static final int MANY_TASKS = 1_380;
    private static final int FEW_TASKS = 60;
    private static final long FINISH_MS = 14_000;
    private static final String LARGE = "00000000000000b0";
    private static final String SMALL = "00000000000000c0";

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("orders", "/orders/", "layout")), "layout");
        for (int i = 0; i < EXECUTORS; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-" + i / 5, spec -> spec.equals("watch") ? 0 : 300);
        }
        Set<String> started = ConcurrentHashMap.newKeySet();
        d.record.listen(new Record.Listener() {
            @Override
            public void onStart(Executor executor, Executor.Run run) {
                started.add(run.task);
            }
        });
        d.startVms();
        // Until the executors are known to the pool's owner.
        Thread.sleep(3_000);
        Map<String, Object> standing = step(d.trouble ? MANY_TASKS : FEW_TASKS, 40, 400);
        standing.put("long_running", true);
        MovedRoute.submit(d, d.vms.get(0), "/orders/" + LARGE, job("watch", standing));
        Thread.sleep(1_000);
        Map<String, Object> small = job("preview", step(4, 1_000, 300));
        int tries = 0;
        while (d.client.call("POST", d.vms.get(tries % 3), "/orders/" + SMALL, small).status() != 200) {
            if (++tries > 20) {
                throw new Deployment.Unable("the small job was not accepted");
            }
        }
        long acceptedMs = Clock.ms();
        long endMs = acceptedMs + FINISH_MS;
        for (int i = 0; Clock.ms() < endMs; i++) {
            d.client.call("GET", d.vms.get(i % 3), "/orders/" + SMALL, null);
            Thread.sleep(1_000);
        }
        long smallStarts = started.stream().filter(task -> task.startsWith(SMALL)).count();
        d.record.add("tasks that have started: " + (started.size() - smallStarts) + " of the standing job, " + smallStarts
                + " of the small job, which was accepted " + (Clock.ms() - acceptedMs) + " ms ago");
        for (Vm vm : d.vms) {
            d.record.add(vm.id + ": " + vm.log().lines().filter(line -> line.contains("event=pool-claimed")).count()
                    + " claims of the pool, "
                    + vm.log().lines().filter(line -> line.contains("event=owner-paused")).count()
                    + " pauses as owner");
        }
        boolean broken = smallStarts == 0;
        if (broken) {
            d.record.add("LOST: nothing of the accepted jobs runs, though all executors are idle");
        }
        return broken;
    }

    private static Map<String, Object> job(String spec, Map<String, Object> step) {
        return Map.of("spec", spec, "phases", List.of(step));
    }

    private static Map<String, Object> step(int count, int cpu, int estimateMs) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", count);
        step.put("cpu", cpu);
        step.put("mem_mb", 20);
        step.put("estimate_ms", estimateMs);
        return step;
    }
}
