import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** MIXED: the machine that orders the executors is killed, and the others are asked for the number of pending jobs. */
final class PendingCount {
    private static final int JOBS = 10;

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        Runs runs = new Runs(setup.record, 60_000, 8_000);
        setup.configure();
        setup.addExecutors(2, 16_000, runs);
        setup.startMachines(3);
        Daemon owner = setup.owner();
        List<Daemon> others =
                setup.machines.stream().filter(machine -> machine != owner).toList();
        setup.record.add("case", "the service is held by " + owner.name);
        setup.submit(owner, String.format("%016x", 0xc0), 4, 8_000, 60_000);
        if (!Wait.until(setup.record, 10_000, () -> runs.started() >= 4)) {
            setup.exit(2, "the executors were not filled");
        }
        for (Daemon machine : others) {
            setup.call(machine, "GET", "", "");
        }
        for (int i = 1; i <= JOBS; i++) {
            setup.submit(others.get(i % 2), String.format("%016x", 0xc0 + i), 1, 8_000, 4_000);
        }
        // visible_ms + 2 s, and a second more.
        Thread.sleep(6_000);
        if (setup.trouble) {
            owner.kill();
        }
        int asked = 0;
        int wrong = 0;
        long untilMs = setup.record.nowMs() + 8_000;
        while (setup.record.nowMs() < untilMs) {
            for (Daemon machine : others) {
                Http.Response response = setup.call(machine, "GET", "", "");
                if (response.status() == 200) {
                    Map<String, Object> body = Json.object(response.body());
                    asked++;
                    // Only the four tasks of the first job have been started.
                    if (runs.started() == 4 && 2 * Json.integer(body, "pending") < JOBS) {
                        wrong++;
                        setup.record.add("check", "MIXED " + machine.name + " gives pending="
                                + Json.integer(body, "pending") + " of " + JOBS);
                    }
                }
            }
            Thread.sleep(100);
        }
        setup.exit(
                wrong > 0 ? 1 : asked == 0 ? 2 : 0,
                wrong + " of " + asked + " answers gave under half of the " + JOBS + " pending jobs");
    }
}
