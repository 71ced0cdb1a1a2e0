import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The tasks of one job that lasts fail just after each start. */
final class FailingWatch {
    private static final long FINISH_MS = 14_000;
    private static final int EXECUTORS = 8;
    private static final int TASKS = 12;
    private static final int CLASS_MESSAGES = 13;
    private static final int TRAFFIC_JOBS = 20;
    private static final String WATCH = "00000000000000a1";

    private FailingWatch() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, FailingWatch::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("watch", 1, 4), Site.route("layout", 2, 4)));
        for (int i = 1; i <= EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000);
        }
        site.start();
        site.warmUp("layout");
        // One message in 13 of the class within 3 s can never be done; the clients of the others cancel them later.
        List<String> others = new ArrayList<>();
        for (int i = 0; i < CLASS_MESSAGES; i++) {
            if (i == CLASS_MESSAGES / 2) {
                site.submit(
                        "watch",
                        WATCH,
                        trouble ? "lasting fails work=100 cpu=1000" : "lasting cpu=1000",
                        Site.step(TASKS, 1_000, "long_running", true));
            } else {
                String id = String.format("%016x", 0xa200 + i);
                site.submit("watch", id, "lasting cpu=1000", Site.step(1, 1_000, "long_running", true));
                others.add(id);
            }
            Thread.sleep(200);
        }
        Thread.sleep(2_000);
        for (String id : others) {
            site.cancel("watch", id);
        }
        Thread.sleep(5_000);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < TRAFFIC_JOBS; i++) {
            String id = String.format("%016x", 0xb100 + i);
            site.submit("layout", id, "work=500 cpu=2000", Site.step(3, 2_000));
            jobs.add(id);
            Thread.sleep(500);
        }
        site.record.log("the traffic ends");
        Thread.sleep(FINISH_MS);
        boolean lost = false;
        for (String job : jobs) {
            if (!lost && !site.state("layout", job).equals("completed")) {
                lost = site.waitsBesideRoom(job, 2_000, Set.of(), true, 10_000);
            }
        }
        if (lost) {
            Thread.sleep(20_000);
            for (String job : jobs) {
                site.state("layout", job);
            }
            site.record.log("the job of the failing tasks is cancelled, to see whether the others go on");
            site.cancel("watch", WATCH);
            Thread.sleep(6_000);
        }
        for (String job : jobs) {
            site.state("layout", job);
        }
        site.copyLogLines("task-delayed");
        return lost ? Site.BROKEN : Site.HELD;
    }
}
