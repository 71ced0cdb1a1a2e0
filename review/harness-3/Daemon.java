import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** One machine of the system: the program as a process, with the command and the template of the deploy file. */
final class Daemon implements AutoCloseable {
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    final String id;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final int front = freePort();
    private final int ready = freePort();
    private Process process;

    Daemon(Path root, Path temporary, String id, String zone, int storePort, int advicePort) throws IOException {
        this.root = root;
        this.id = id;
        settings = temporary.resolve(id + ".ini");
        log = temporary.resolve(id + ".log");
        Map<String, String> values = Map.ofEntries(
                Map.entry("node", id),
                Map.entry("zone", zone),
                Map.entry("region", "region-1"),
                Map.entry("ip", Web.HOST),
                Map.entry("port_range.0", Integer.toString(freePort())),
                Map.entry("port_range.1", Integer.toString(freePort())),
                Map.entry("limits.cpu_share", "0.75"),
                Map.entry("limits.cores", "1"),
                Map.entry("limits.link_mbps", "1000.0"),
                Map.entry("listen.front", Web.HOST + ":" + front),
                Map.entry("listen.ready", Web.HOST + ":" + ready),
                Map.entry("platform.address", Web.HOST + ":" + storePort),
                Map.entry("advice", Web.HOST + ":" + advicePort));
        String ini = Files.readString(root.resolve("deploy/node.ini"))
                .replace("{{#limits.max_fds}}max-descriptors = {{.}}{{/limits.max_fds}}", "max-descriptors = 4100")
                .replace("{{#bounds.max_hold_ms}}max-lease-ms = {{.}}{{/bounds.max_hold_ms}}", "max-lease-ms = 10000");
        for (Map.Entry<String, String> value : values.entrySet()) {
            ini = ini.replace("{{" + value.getKey() + "}}", value.getValue());
        }
        if (ini.contains("{{")) {
            throw new IOException("a placeholder of the template has no value");
        }
        Files.writeString(settings, ini);
    }

    /** A free port below those that the system gives to outgoing connections, which could take it before its use. */
    private static synchronized int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            if (GIVEN_PORTS.add(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(Web.HOST))) {
                    return socket.getLocalPort();
                } catch (BindException e) {
                    // Taken by another process.
                }
            }
        }
    }

    int front() {
        return front;
    }

    void start() throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(List.of(run.split(" ")))
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("RADISHSPINDLE_NODE_FILE", settings.toString());
        process = builder.start();
    }

    boolean isReady() {
        try {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + Web.HOST + ":" + ready + "/radishspindle/readiness"))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    String logText() throws IOException {
        return Files.readString(log);
    }

    @Override
    public void close() {
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
