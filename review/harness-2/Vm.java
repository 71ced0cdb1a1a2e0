import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One process of the daemon, started with the command and the template of the deploy file. */
final class Vm {
    private static final Pattern RUN = Pattern.compile("(?m)^run\\s*=\\s*\"([^\"]*)\"");

    final String id;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final String front;
    private final String ready;
    private Process process;

    Vm(Path root, Path folder, String id, String store) throws IOException {
        this.root = root;
        this.id = id;
        front = Web.HOST + ":" + Web.freePort();
        ready = Web.HOST + ":" + Web.freePort();
        settings = folder.resolve(id + ".ini");
        log = folder.resolve(id + ".log");
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", id),
                Map.entry("zone", "zone-1"),
                Map.entry("region", "region-1"),
                Map.entry("ip", Web.HOST),
                Map.entry("port_range.0", Integer.toString(Web.freePort())),
                Map.entry("port_range.1", Integer.toString(Web.freePort())),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("listen.front", front),
                Map.entry("listen.ready", ready),
                Map.entry("platform.address", store),
                Map.entry("advice", Web.HOST + ":" + Web.freePort()));
        String text = Files.readString(root.resolve("deploy/node.ini"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            text = text.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        Files.writeString(settings, text);
    }

    String front() {
        return front;
    }

    String ready() {
        return ready;
    }

    void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no command in the deploy file");
        }
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))));
        builder.directory(root.toFile());
        builder.environment().put("RADISHSPINDLE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    boolean isRunning() {
        return process != null && process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    String log() throws IOException {
        return Files.exists(log) ? Files.readString(log) : "";
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                .inheritIO()
                .start()
                .waitFor();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
