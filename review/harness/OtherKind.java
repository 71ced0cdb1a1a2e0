import java.nio.file.Path;

/** ROUTE: an executor crashes and starts again under its id and at its address, as one of another kind. */
final class OtherKind {
    private static final long WORK_MS = 6_000;

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        Runs runs = new Runs(setup.record, WORK_MS, 4_000);
        runs.needKind("a");
        long firstBeatMs = args.length > 1 ? Long.parseLong(args[1]) : 750;
        setup.configure();
        setup.addExecutors(4, 16_000, runs);
        setup.startMachines(3);
        int tasks = 0;
        for (int i = 0; i < 10; i++) {
            setup.submit(
                    setup.machines.get(i % 3),
                    String.format("%016x", 0xb0 + i),
                    Json.map(
                            "count", 6, "cpu", 4_000, "mem_mb", 256, "estimate_ms", WORK_MS, "constraints", "a"));
            tasks += 6;
        }
        Wait.until(setup.record, 10_000, () -> runs.started() >= 16);
        Thread.sleep(3_000);
        Executor executor = setup.executors.get(1);
        if (setup.trouble) {
            executor.crash();
            runs.onCrash(executor);
            Thread.sleep(1_500);
            executor.boot(16_000, "b", firstBeatMs);
        }
        int all = tasks;
        Wait.until(setup.record, 60_000, () -> runs.doneTasks() >= all);
        Thread.sleep(1_000);
        int wrong = runs.otherKind().size();
        setup.exit(
                wrong > 0 ? 1 : runs.doneTasks() < all ? 2 : 0,
                wrong + " starts on an executor without the label; " + runs.doneTasks() + " of " + all
                        + " tasks done in " + runs.started() + " starts");
    }
}
