import java.util.List;
import java.util.Set;

/** An executor on which a task lasts fails what it starts for some seconds. */
final class FailingExecutor {
    private static final long FAULT_MS = 6_500;
    private static final long FINISH_MS = 14_000;
    private static final int EXECUTORS = 8;
    private static final String SPECIAL = "executor-8";
    private static final String WATCH = "00000000000000a1";
    private static final String BEFORE = "00000000000000b1";
    private static final String DURING = "00000000000000c1";
    private static final String AFTER = "00000000000000d1";

    private FailingExecutor() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, FailingExecutor::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("watch", 1, 4), Site.route("layout", 2, 4)));
        for (int i = 1; i < EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000);
        }
        Worker special = site.addWorker(SPECIAL, "b", "r1-8", 16_000);
        site.start();
        site.warmUp("layout");
        site.submit("watch", WATCH, "lasting cpu=1000", Site.step(1, 1_000, "long_running", true, "constraints", "b"));
        if (!site.awaitActive(WATCH, 1, 10_000)) {
            return Site.COULD_NOT_RUN;
        }
        site.submit("layout", BEFORE, "work=500 cpu=2000", Site.step(3, 2_000, "constraints", "b"));
        if (!site.awaitState("layout", BEFORE, "completed", 10_000)) {
            return Site.COULD_NOT_RUN;
        }
        if (trouble) {
            special.failStarts(true);
        }
        site.submit("layout", DURING, "work=500 cpu=2000", Site.step(3, 2_000, "constraints", "b"));
        Thread.sleep(FAULT_MS);
        if (trouble) {
            special.failStarts(false);
        }
        Thread.sleep(1_500);
        site.submit("layout", AFTER, "work=500 cpu=2000", Site.step(3, 2_000, "constraints", "b"));
        site.record.log("the traffic ends");
        Thread.sleep(FINISH_MS);
        boolean lost = false;
        for (String job : List.of(DURING, AFTER)) {
            lost |= !site.state("layout", job).equals("completed")
                    && site.waitsBesideRoom(job, 2_000, Set.of(SPECIAL), true, 15_000);
        }
        if (lost) {
            Thread.sleep(20_000);
        }
        site.state("layout", DURING);
        site.state("layout", AFTER);
        site.copyLogLines("task-delayed");
        return lost ? Site.BROKEN : Site.HELD;
    }
}
