import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP servers of the stand-ins on loopback. Thread-safe. */
final class Web {
    static final String HOST = "127.0.0.1";
    /** Virtual machines hold many calls open at once, so that each call has a thread. */
    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** An answer with a JSON body; status 0 closes the connection without one. */
    record Answer(int status, Map<String, Object> body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, String body, HttpExchange exchange)
                throws Exception;
    }

    private Web() {}

    /** @param port 0 for a free one */
    static HttpServer serve(int port, Handler handler) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 256);
            server.setExecutor(THREADS);
            server.createContext("/", exchange -> {
                try (exchange) {
                    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                    Answer answer = handler.handle(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            query(exchange.getRequestURI().getRawQuery()),
                            body,
                            exchange);
                    if (answer.status() == 0) {
                        return;
                    }
                    byte[] bytes = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(answer.status(), bytes.length);
                    exchange.getResponseBody().write(bytes);
                } catch (IOException e) {
                    // The caller has gone away.
                } catch (Exception e) {
                    e.printStackTrace();
                }
            });
            server.start();
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> query = new HashMap<>();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(
                            pair.substring(0, equals),
                            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
        }
        return query;
    }
}
