import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** One machine of the system: a process with the command and the template of the deploy file. */
final class Daemon {
    private static final List<Daemon> ALL = new ArrayList<>();

    final String name;
    final int front;
    private final int ready;
    private final Recorder record;
    private final Path settings;
    private final Path log;
    private Process process;

    Daemon(Recorder record, Path directory, String name, int storePort) throws IOException {
        this.record = record;
        this.name = name;
        front = Http.freePort();
        ready = Http.freePort();
        settings = directory.resolve(name + ".ini");
        log = directory.resolve(name + ".log");
        Map<String, String> values = new LinkedHashMap<>();
        values.put("node", name);
        values.put("zone", "zone-a");
        values.put("region", "region-a");
        values.put("ip", Http.HOST);
        values.put("port_range.0", "" + Http.freePort());
        values.put("port_range.1", "" + Http.freePort());
        values.put("limits.cpu_share", "0.75");
        values.put("limits.cores", "1");
        values.put("limits.link_mbps", "1000.0");
        values.put("listen.front", Http.HOST + ":" + front);
        values.put("listen.ready", Http.HOST + ":" + ready);
        values.put("platform.address", Http.HOST + ":" + storePort);
        values.put("advice", Http.HOST + ":" + Http.freePort());
        String text = Files.readString(Path.of("deploy/node.ini"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        Files.writeString(settings, text);
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    /** Starts the process from the root of the repository. */
    void start() throws IOException {
        String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> command = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RADISHSPINDLE_NODE_FILE", settings.toString());
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        record.add(name, "starts as process " + process.pid());
    }

    /** Ends the process with SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        record.add(name, "is killed");
    }

    boolean isReady() {
        return Http.call(ready, "GET", "/radishspindle/readiness", Map.of("Host", Http.HOST), "", 1_000).status() == 200;
    }

    /** Adds the lines of the log that tell who held the service to the record. */
    void copyLog() throws IOException {
        if (Files.exists(log)) {
            Files.readAllLines(log).stream()
                    .filter(line -> line.contains("event=pool-") || line.contains("event=start "))
                    .forEach(line -> record.add(name, "logged " + line));
        }
    }

    /** Ends all processes that were started. */
    static void endAll() {
        synchronized (ALL) {
            for (Daemon daemon : ALL) {
                if (daemon.process != null) {
                    daemon.process.destroyForcibly();
                    daemon.process.onExit().join();
                }
            }
        }
    }
}
