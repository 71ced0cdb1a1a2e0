import java.util.List;
import java.util.Set;

/** The executor of a task that lasts loses power for good as the machine that gives the orders is killed. */
final class LossWithOwner {
    /** {@code 6 s} after the last run, and 3 s more. */
    private static final long FIRST_WAIT_MS = 6_000;

    private static final long RESTART_MS = 1_000;
    private static final int EXECUTORS = 8;
    private static final String WATCH = "00000000000000a1";

    private LossWithOwner() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, LossWithOwner::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("watch", 1, 4)));
        for (int i = 1; i <= EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000);
        }
        site.start();
        site.warmUp("watch");
        site.submit("watch", WATCH, "lasting cpu=1000", Site.step(1, 1_000, "long_running", true));
        if (!site.awaitActive(WATCH, 1, 10_000)) {
            return Site.COULD_NOT_RUN;
        }
        Thread.sleep(5_000);
        Daemon giver = null;
        for (Daemon machine : site.machines()) {
            if (machine.logText().contains("event=pool-claimed pool=" + Site.SERVICE)) {
                giver = machine;
            }
        }
        if (giver == null) {
            return Site.COULD_NOT_RUN;
        }
        Worker worker = site.workers.stream()
                .filter(candidate -> !candidate.active().isEmpty())
                .findFirst()
                .orElseThrow();
        long lostMs = site.record.nowMs();
        if (trouble) {
            worker.loseForGood(true);
            site.record.log("machine %s: SIGKILL", giver.id);
            giver.close();
            Thread.sleep(RESTART_MS);
            site.record.log("machine %s: its process starts again", giver.id);
            giver.start();
        }
        Thread.sleep(Math.max(0, lostMs + FIRST_WAIT_MS - site.record.nowMs()));
        boolean lost = site.waitsBesideRoom(WATCH, 1_000, Set.of(), false, 10_000);
        if (!site.awaitActive(WATCH, 1, 20_000)) {
            site.record.log("the task still doesn't run");
        } else {
            site.record.log("the task runs again");
        }
        site.copyLogLines("pool-claimed", "pool-recovered", "majority", "task-delayed");
        return lost ? Site.BROKEN : Site.HELD;
    }
}
