import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** BUDGET: a task crashes each executor that starts it, a while after its start. */
final class LateCrash {
    private static final String DEADLY = String.format("%016x", 0xdd);
    private static final long BACK_MS = 2_000;

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        long crashAfterMs = args.length > 1 ? Long.parseLong(args[1]) : 1_000;
        AtomicInteger crashes = new AtomicInteger();
        AtomicInteger startsAfterThree = new AtomicInteger();
        AtomicInteger othersLost = new AtomicInteger();
        Runs runs = new Runs(setup.record, 3_000, 4_000) {
            @Override
            public synchronized void onStart(Executor executor, String task, int attempt) {
                super.onStart(executor, task, attempt);
                if (!setup.trouble || !task.startsWith(DEADLY)) {
                    return;
                }
                if (crashes.get() >= 3) {
                    setup.record.add("check", "BUDGET start " + startsAfterThree.incrementAndGet() + " of " + task
                            + " after " + crashes.get() + " executors have crashed under it");
                }
                Http.daemon(() -> crash(executor));
            }

            private void crash(Executor executor) {
                try {
                    Thread.sleep(crashAfterMs);
                    crashes.incrementAndGet();
                    othersLost.addAndGet(executor.crash() - 1);
                    onCrash(executor);
                    Thread.sleep(BACK_MS);
                    executor.boot(executor.cpu(), executor.kind(), 100);
                } catch (Exception e) {
                    throw new IllegalStateException(e);
                }
            }
        };
        setup.configure();
        setup.addExecutors(6, 16_000, runs);
        setup.startMachines(3);
        for (int i = 0; i < 3; i++) {
            setup.submit(setup.machines.get(i), String.format("%016x", 0xd0 + i), 4, 4_000, 3_000);
        }
        setup.submit(setup.machines.get(0), DEADLY, 1, 4_000, 3_000);
        long untilMs = setup.record.nowMs() + 40_000;
        int next = 16;
        while (setup.record.nowMs() < untilMs) {
            Thread.sleep(1_000);
            setup.submit(setup.machines.get(next % 3), String.format("%016x", 0xd000 + next++), 2, 4_000, 3_000);
        }
        String state = setup.call(setup.machines.get(0), "GET", DEADLY, "").body();
        setup.exit(
                startsAfterThree.get() >= 3 ? 1 : 0,
                crashes.get() + " executors crashed under the task, " + startsAfterThree.get()
                        + " starts after the third; " + othersLost.get() + " other runs lost with them; " + state);
    }
}
