import java.util.List;

/** A task crashes each executor that starts it, and the connections of the executor hang instead of being closed. */
final class DeadlyTask {
    private static final long WATCHED_MS = 90_000;
    private static final int EXECUTORS = 8;
    /** Crashes after which a task may still be started less than {@link #STARTS_TOO_MANY} times. */
    private static final int CRASHES = 3;

    private static final int STARTS_TOO_MANY = 3;
    private static final String DEADLY = "00000000000000a1";

    private DeadlyTask() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, DeadlyTask::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("layout", 1, 3)));
        for (int i = 1; i <= EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000)
                    .crashSilently(!"closed".equals(System.getenv("CRASH")));
        }
        site.start();
        site.warmUp("layout");
        site.submit("layout", DEADLY, trouble ? "work=500 cpu=2000 deadly" : "work=500 cpu=2000", Site.step(1, 2_000));
        long endMs = site.record.nowMs() + WATCHED_MS;
        long startsAtThird = -1;
        while (site.record.nowMs() < endMs) {
            long crashes = site.workers.stream().mapToLong(Worker::crashes).sum();
            long starts = site.workers.stream()
                    .mapToLong(worker -> worker.starts(DEADLY))
                    .sum();
            if (crashes >= CRASHES && startsAtThird < 0) {
                startsAtThird = starts;
            }
            if (startsAtThird >= 0 && starts - startsAtThird >= STARTS_TOO_MANY) {
                site.record.log("check: %d starts after %d executors had crashed under the task",
                        starts - startsAtThird, CRASHES);
                Thread.sleep(Math.max(0, Math.min(20_000, endMs - site.record.nowMs())));
                site.state("layout", DEADLY);
                site.copyLogLines("worker-crashed", "trial-started", "task-given-up", "suspect");
                return Site.BROKEN;
            }
            String state = site.state("layout", DEADLY);
            if (state.equals("completed") || state.equals("failed")) {
                break;
            }
            Thread.sleep(250);
        }
        site.copyLogLines("worker-crashed", "trial-started", "task-given-up", "suspect");
        return Site.HELD;
    }
}
