import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;

/** HTTP server of a stand-in on a loopback port, one thread a request. */
final class Web {
    static final String HOST = "127.0.0.1";
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();

    interface Handler {
        void handle(Call call) throws IOException, InterruptedException;
    }

    /** One request and its answer. */
    static final class Call {
        private final HttpExchange exchange;
        final String method;
        final String path;
        final Map<String, String> query = new HashMap<>();
        final String text;

        Call(HttpExchange exchange) throws IOException {
            this.exchange = exchange;
            method = exchange.getRequestMethod();
            path = exchange.getRequestURI().getPath();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        }

        Map<String, Object> body() {
            return Json.object(text);
        }

        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }

        void answer(int status, Object body) throws IOException {
            byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            try (OutputStream out = exchange.getResponseBody()) {
                out.write(bytes);
            }
        }

        /** Closes the connection without an answer. */
        void cut() {
            exchange.close();
        }
    }

    private final HttpServer server;

    Web(Handler handler) throws IOException {
        this(handler, 0);
    }

    /** @param port port to listen on; 0 for a free one */
    Web(Handler handler, int port) throws IOException {
        server = HttpServer.create(new InetSocketAddress(HOST, port == 0 ? freePort() : port), 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "web");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                handler.handle(new Call(exchange));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                // The caller has closed its connection.
            } catch (RuntimeException e) {
                e.printStackTrace();
            } finally {
                exchange.close();
            }
        });
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    String address() {
        return HOST + ":" + port();
    }

    /** Stops to listen and closes all connections at once. */
    void stop() {
        server.stop(0);
    }

    /** A free port below those that the system gives to outgoing connections. */
    static synchronized int freePort() throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = 12_000 + RANDOM.nextInt(20_000);
            try (ServerSocket socket = new ServerSocket()) {
                if (TAKEN.contains(port)) {
                    continue;
                }
                socket.bind(new InetSocketAddress(HOST, port));
                TAKEN.add(port);
                return port;
            } catch (java.net.BindException e) {
                // In use; try another one.
            }
        }
        throw new IOException("no free port");
    }
}
