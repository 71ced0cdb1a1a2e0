import java.util.List;
import java.util.Set;

/** The executor of a task that lasts is lost for good while a gang waits for whole executors. */
final class WaitingGang {
    /** Three heartbeats until the entry is gone, then the calm time of the rule; over 6 s after the last run. */
    private static final long CALM_MS = 4_500 + 4_000 + 500;

    private static final long WATCHED_MS = 4_000;
    private static final int EXECUTORS = 8;
    private static final String LONG = "00000000000000a1";
    private static final String WATCH = "00000000000000b1";
    private static final String GANG = "00000000000000c1";

    private WaitingGang() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, WaitingGang::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("render", 0, 2), Site.route("watch", 1, 2)));
        for (int i = 1; i <= EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000);
        }
        site.start();
        site.warmUp("render");
        site.submit("watch", WATCH, "lasting cpu=1000", Site.step(1, 1_000, "long_running", true));
        if (!site.awaitActive(WATCH, 1, 10_000)) {
            return Site.COULD_NOT_RUN;
        }
        site.submit(
                "render",
                LONG,
                "work=14000 cpu=8000",
                Site.step(EXECUTORS, 8_000, "anti_affinity", 1, "estimate_ms", 14_000));
        if (!site.awaitActive(LONG, EXECUTORS, 10_000)) {
            return Site.COULD_NOT_RUN;
        }
        int members = EXECUTORS - 1;
        site.submit(
                "render",
                GANG,
                "work=5000 cpu=16000 gang=" + members,
                Site.step(members, 16_000, "gang", true, "estimate_ms", 5_000));
        Thread.sleep(300);
        if (trouble) {
            site.workers.stream()
                    .filter(worker -> worker.active().stream().anyMatch(run -> run.job().equals(WATCH)))
                    .findFirst()
                    .orElseThrow()
                    .loseForGood(false);
        }
        Thread.sleep(CALM_MS);
        boolean lost = site.waitsBesideRoom(WATCH, 1_000, Set.of(), false, WATCHED_MS);
        if (lost) {
            Thread.sleep(10_000);
            site.record.log("runs of the watch now: %d", site.active(WATCH));
        }
        site.state("watch", WATCH);
        site.copyLogLines("task-delayed");
        return lost ? Site.BROKEN : Site.HELD;
    }
}
