import java.nio.file.Path;

/** TWICE: the store is down for 4.5 s, and leases and entries of executors run out meanwhile. */
final class StoreOutage {
    private static final int TASKS = 12;
    private static final long WORK_MS = 14_000;

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        Runs runs = new Runs(setup.record, WORK_MS, 4_000);
        setup.configure();
        setup.addExecutors(6, 16_000, runs);
        setup.startMachines(3);
        for (int i = 0; i < TASKS / 2; i++) {
            setup.submit(setup.machines.get(i % 3), String.format("%016x", 0xa0 + i), 2, 4_000, WORK_MS);
        }
        Wait.until(setup.record, 10_000, () -> runs.started() >= TASKS);
        Thread.sleep(1_500);
        if (setup.trouble) {
            setup.store.setDown(true);
            Thread.sleep(4_500);
            setup.store.setDown(false);
        }
        Wait.until(setup.record, 45_000, () -> runs.doneTasks() >= TASKS);
        Thread.sleep(2_000);
        int twice = runs.twice().size();
        setup.exit(
                twice > 0 ? 1 : runs.doneTasks() < TASKS ? 2 : 0,
                twice + " starts of tasks that ran or had ended done; " + runs.doneTasks() + " of " + TASKS
                        + " tasks done in " + runs.started() + " starts");
    }
}
