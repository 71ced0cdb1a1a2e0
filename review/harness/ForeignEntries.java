import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** LOST: entries of another writer lie under the executors', with fields missing or of another type. */
final class ForeignEntries {
    private static final int EXECUTORS = 4;
    private static final int JOBS = 6;
    private static final long FINISH_MS = 14_000;

    public static void main(String[] args) throws Exception {
        Setup setup = new Setup(Path.of(args[0]));
        Runs runs = new Runs(setup.record, 1_000, 4_000);
        int entries = args.length > 1 ? Integer.parseInt(args[1]) : EXECUTORS;
        setup.configure();
        setup.addExecutors(EXECUTORS, 16_000, runs);
        setup.startMachines(3);
        setup.submit(setup.machines.get(0), String.format("%016x", 0xe0), 2, 4_000, 1_000);
        if (!Wait.until(setup.record, 10_000, () -> runs.doneTasks() >= 2)) {
            setup.exit(2, "the first job was not done");
        }
        if (setup.trouble) {
            for (int i = 0; i < entries; i++) {
                // No zone, no version, and slots of another type.
                setup.store.putAsOther(
                        "servers/x-" + i,
                        Json.map(
                                "service", Setup.SERVICE,
                                "address", Http.HOST + ":" + (1_000 + i),
                                "slots", "eight",
                                "state", "ready",
                                "capacity", Json.map("cpu", 16_000, "mem_mb", 32_768, "gpus", 0),
                                "labels", List.of("a", "r9-" + i)));
            }
        }
        Thread.sleep(4_000);
        for (int i = 1; i <= JOBS; i++) {
            setup.submit(setup.machines.get(i % 3), String.format("%016x", 0xe0 + i), 2, 4_000, 1_000);
        }
        int all = 2 + 2 * JOBS;
        boolean done = Wait.until(setup.record, FINISH_MS + 4_000, () -> runs.doneTasks() >= all);
        Thread.sleep(500);
        int completed = 0;
        for (int i = 1; i <= JOBS; i++) {
            Http.Response state = setup.call(setup.machines.get(0), "GET", String.format("%016x", 0xe0 + i), "");
            Map<String, Object> body = state.status() == 200 ? Json.object(state.body()) : Map.of();
            completed += Json.text(body, "state").equals("completed") ? 1 : 0;
        }
        setup.exit(
                done ? 0 : 1,
                runs.doneTasks() + " of " + all + " tasks done in " + runs.started() + " starts, " + completed + " of "
                        + JOBS + " jobs completed " + (FINISH_MS + 4_000) + " ms after they were accepted");
    }
}
