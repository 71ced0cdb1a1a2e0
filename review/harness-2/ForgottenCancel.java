import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A job is handed in, handed in again and cancelled while the store's watches hear nothing; the machine that stored it
 * is frozen before it reads the store's answer.
 */
public final class ForgottenCancel implements Case.Script {
    private static final long CANCEL_MS = 3_000;
    private static final long STOP_MS = 900;
    /** The pages let the watches hear nothing for a second. */
    private static final long DEAF_MS = 700;
    /** The pages let a machine stand still for seconds. */
    private static final long FROZEN_MS = 1_150;

    @Override
    public boolean run(Deployment d) throws Exception {
        d.configure(1, List.of(Deployment.route("watch", "/watch/", "layout")), "layout");
        for (int i = 0; i < 6; i++) {
            d.addExecutor("layout-" + i, "layout", "r1-1", spec -> 0);
        }
        d.startVms();
        String first = "/watch/00000000000000a0";
        MovedRoute.submit(d, d.vms.get(0), first, job());
        Thread.sleep(3_000);
        Vm owner = d.owner("layout");
        Vm frozen = d.vms.stream().filter(vm -> vm != owner).findFirst().orElseThrow();
        Vm third = d.vms.stream().filter(vm -> vm != owner && vm != frozen).findFirst().orElseThrow();
        d.record.add("the pool's owner is " + owner.id);

        String id = "5c0e7a21d94b36f8";
        String path = "/watch/" + id;
        if (d.trouble) {
            d.store.beforeAnswer = txn -> {
                if (Json.write(txn.get("write")).contains("/job/" + id)) {
                    freeze(d, frozen);
                }
                return true;
            };
            d.store.goDeaf();
            d.record.add("the store's watches hear nothing");
        }
        long startMs = Clock.ms();
        d.client.call("POST", frozen, path, job(), 250);
        d.store.beforeAnswer = txn -> true;
        Client.Answer again = d.client.call("POST", third, path, job());
        Client.Answer cancelled = d.client.call("DELETE", third, path, null);
        long cancelledMs = Clock.ms();
        if (again.status() != 200 || cancelled.status() != 200) {
            throw new Deployment.Unable("the job was not accepted and cancelled");
        }
        if (d.trouble) {
            sleepUntil(startMs + DEAF_MS);
            d.store.dropHistory();
            d.record.add("the store drops its history and cuts the watches");
            sleepUntil(startMs + FROZEN_MS);
            frozen.signal("CONT");
            d.record.add(frozen.id + " wakes");
        }
        // A calm stretch of cancel_ms and stop_ms after the last disruption, and a second more.
        sleepUntil(Math.max(cancelledMs, startMs + FROZEN_MS) + CANCEL_MS + STOP_MS + 1_000);
        boolean broken = !d.runningTasks(id).isEmpty();
        if (broken) {
            d.record.add("UNASKED: tasks of the cancelled job run " + (Clock.ms() - cancelledMs)
                    + " ms after the cancelling was acknowledged");
        }
        d.client.call("GET", third, path, null);
        return broken;
    }

    private static void freeze(Deployment d, Vm vm) {
        try {
            vm.signal("STOP");
            d.record.add(vm.id + " stands still; its answer of the store is on its way");
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long atMs) throws InterruptedException {
        Thread.sleep(Math.max(0, atMs - Clock.ms()));
    }

    static Map<String, Object> job() {
        Map<String, Object> step = new LinkedHashMap<>();
        step.put("count", 2);
        step.put("cpu", 1_000);
        step.put("mem_mb", 512);
        step.put("estimate_ms", 400);
        step.put("long_running", true);
        return Map.of("spec", "watch", "phases", List.of(step));
    }
}
