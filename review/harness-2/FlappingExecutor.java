import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Two executors of 28 go down and up by turns; each alone has the label that a standing job needs. */
public final class FlappingExecutor implements Case.Script {
    private static final int EXECUTORS = 28;
    private static final long PERIOD_MS = 1_160;
    private static final long FOR_MS = 7_840;
    /** How long each of the two executors is up in each turn. */
    private static final List<Long> UP_MS = List.of(250L, 310L);

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("watch", "/watch/", "layout")), "layout");
        int flapping = UP_MS.size();
        for (int i = flapping; i < EXECUTORS; i++) {
            d.addExecutor("layout-" + i, "layout", "a", "r1-" + i / 5, spec -> 0);
        }
        Executor[] unsteady = new Executor[flapping];
        for (int i = 0; i < flapping; i++) {
            unsteady[i] = d.addExecutor("layout-" + i, "layout", "b" + i, "r2-" + i, spec -> 0);
        }
        AtomicInteger failedEnds = new AtomicInteger();
        d.record.listen(new Record.Listener() {
            @Override
            public void onEnd(Executor executor, Executor.Run run, String how) {
                if (how.equals("failed")) {
                    failedEnds.incrementAndGet();
                }
            }
        });
        d.startVms();
        for (int i = 0; i < flapping; i++) {
            MovedRoute.submit(d, d.vms.get(i), path(i), job("b" + i));
        }
        Thread.sleep(5_000);
        for (int i = 0; i < flapping; i++) {
            if (d.runningTasks(id(i)).isEmpty()) {
                throw new Deployment.Unable("a job doesn't run");
            }
        }
        if (d.trouble) {
            Thread[] turns = new Thread[flapping];
            for (int i = 0; i < flapping; i++) {
                Executor executor = unsteady[i];
                long upMs = UP_MS.get(i);
                // The two are not down and up at the same moments.
                long offsetMs = i * PERIOD_MS / flapping;
                turns[i] = new Thread(() -> flap(executor, offsetMs, upMs));
                turns[i].start();
            }
            for (Thread turn : turns) {
                turn.join();
            }
        }
        Thread.sleep(10_000);
        boolean broken = false;
        for (int i = 0; i < flapping; i++) {
            String state = d.client.call("GET", d.vms.get(1), path(i), null).text();
            d.record.add("tasks of the job that run: " + d.runningTasks(id(i)));
            if (state.contains("failed") && failedEnds.get() == 0) {
                broken = true;
                d.record.add("LOST: the job is shown as failed, though no run has ended failed");
            }
        }
        return broken;
    }

    private static String id(int index) {
        return "5c0e7a21d94b36f" + index;
    }

    private static String path(int index) {
        return "/watch/" + id(index);
    }

    private static void flap(Executor executor, long offsetMs, long upMs) {
        try {
            Thread.sleep(offsetMs);
            long endMs = Clock.ms() + FOR_MS;
            while (Clock.ms() + PERIOD_MS <= endMs) {
                executor.crash();
                Thread.sleep(PERIOD_MS - upMs);
                executor.restart();
                Thread.sleep(upMs);
            }
            executor.crash();
            Thread.sleep(PERIOD_MS - upMs);
            executor.restart();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, Object> job(String label) {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", 1);
        step.put("cpu", 1_000);
        step.put("mem_mb", 512);
        step.put("estimate_ms", 400);
        step.put("constraints", label);
        step.put("long_running", true);
        return Map.of("spec", "watch", "phases", List.of(step));
    }
}
