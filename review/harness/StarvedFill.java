import java.nio.file.Path;

/** LOST: a job that fills is handed in while every executor runs a task that serves. */
final class StarvedFill {
    private static final int EXECUTORS = 3;
    private static final long FINISH_MS = 14_000;
    private static final String SERVING = String.format("%016x", 0xf0);
    private static final String FILLING = String.format("%016x", 0xf1);

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        Runs runs = new Runs(setup.record, 2_000, 2_000) {
            @Override
            public long workMs(String task) {
                return task.startsWith(SERVING) ? 600_000 : super.workMs(task);
            }

            @Override
            public long gauge(String task) {
                return task.startsWith(SERVING) ? 20 : super.gauge(task);
            }
        };
        setup.configure();
        setup.addExecutors(EXECUTORS, 16_000, runs);
        setup.startMachines(3);
        if (setup.trouble) {
            setup.submit(
                    setup.machines.get(0),
                    SERVING,
                    Json.map(
                            "count", EXECUTORS, "cpu", 2_000, "mem_mb", 256, "estimate_ms", 600_000,
                            "anti_affinity", 1, "long_running", true, "image", "web", "target_ms", 200));
            if (!Wait.until(setup.record, 10_000, () -> runs.started() == EXECUTORS)) {
                setup.exit(2, "the serving tasks were not started");
            }
        }
        setup.submit(
                setup.machines.get(1),
                FILLING,
                Json.map(
                        "count", 2, "cpu", 2_000, "mem_mb", 256, "estimate_ms", 2_000, "image", "batch",
                        "fills", true));
        boolean done = Wait.until(setup.record, FINISH_MS + 6_000, () -> runs.doneTasks() >= 2);
        setup.call(setup.machines.get(0), "GET", FILLING, "");
        setup.exit(
                done ? 0 : 1,
                runs.doneTasks() + " of 2 filling tasks done; the job " + (runs.hasStarted(FILLING) ? "was" : "was not")
                        + " started within " + (FINISH_MS + 6_000) + " ms");
    }
}
