import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** One job in ten crashes each executor that starts it, for ten seconds; the others are sound. */
final class SoundBesideDeadly {
    private static final long FINISH_MS = 14_000;
    private static final int EXECUTORS = 4;
    private static final int JOBS = 100;
    private static final long INTERVAL_MS = 90;
    private static final int DEADLY_EVERY = 10;
    private static final int FIRST_DEADLY = 3;

    private SoundBesideDeadly() {}

    public static void main(String[] args) throws Exception {
        Site.main(args, SoundBesideDeadly::run);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.configure(List.of(Site.route("layout", 0, 3)));
        for (int i = 1; i <= EXECUTORS; i++) {
            site.addWorker("executor-" + i, "a", "r1-" + i, 16_000);
        }
        site.start();
        site.warmUp("layout");
        List<String> sound = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", 0xb100 + i);
            boolean deadly = trouble && i % DEADLY_EVERY == FIRST_DEADLY;
            site.submit("layout", id, "work=700 cpu=1500" + (deadly ? " deadly" : ""), Site.step(2, 1_500));
            if (!deadly) {
                sound.add(id);
            }
            Thread.sleep(INTERVAL_MS);
        }
        site.record.log("the traffic ends");
        Thread.sleep(FINISH_MS);
        boolean lost = false;
        List<String> open = new ArrayList<>();
        for (String job : sound) {
            if (!site.state("layout", job).equals("completed")) {
                open.add(job);
            }
        }
        site.record.log("check: %d sound jobs haven't completed: %s", open.size(), open);
        for (String job : open) {
            lost = lost || site.waitsBesideRoom(job, 1_500, Set.of(), true, 5_000);
        }
        for (String job : open) {
            site.state("layout", job);
        }
        site.copyLogLines("task-delayed", "task-given-up", "worker-crashed");
        return lost ? Site.BROKEN : Site.HELD;
    }
}
