package io.radishspindle.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs stand-ins inside a test. Used by one thread. */
final class InProcess implements AutoCloseable {
    static final long TIMEOUT_MS = 10_000;

    final Vertx vertx = Vertx.vertx();
    private final Map<StandInServer, String> deployments = new HashMap<>();
    private final HttpClient client = HttpClient.newHttpClient();

    <T extends StandInServer> T start(T server) {
        deployments.put(server, await(vertx.deployVerticle(server)));
        return server;
    }

    void stop(StandInServer server) {
        await(vertx.undeploy(deployments.remove(server)));
    }

    static StandInServer.Address address(String kind) {
        return new StandInServer.Address(kind, kind + "-1", "127.0.0.1", 0);
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    String get(StandInServer server, String path) {
        return exchange(request(server, path).GET().build()).body();
    }

    /** Reads a page until it matches a regular expression. */
    void awaitText(StandInServer server, String path, String expression) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
        while (!get(server, path).matches(expression)) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError(path + " never matched " + expression);
            }
        }
    }

    HttpResponse<String> post(StandInServer server, String path, String json) {
        return exchange(request(server, path)
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build());
    }

    private static HttpRequest.Builder request(StandInServer server, String path) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path));
    }

    private HttpResponse<String> exchange(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        } catch (Exception e) {
            throw new AssertionError("no answer", e);
        }
    }

    @Override
    public void close() {
        await(vertx.close());
    }
}
