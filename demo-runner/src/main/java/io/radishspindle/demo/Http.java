package io.radishspindle.demo;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/** Blocking HTTP calls of a caller or operator. Thread-safe. */
public final class Http {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(15);

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /**
     * What became of a call.
     *
     * @param status 0 if there was no complete answer
     * @param connected whether the peer may have got the call
     */
    public record Result(int status, Map<String, String> headers, String body, boolean connected) {
        public boolean isSuccess() {
            return status >= 200 && status < 300;
        }

        /** Whether it is certain that the call had no effect. */
        public boolean isNotRun() {
            return !connected || (status != 0 && !isSuccess() && json().getBoolean("notRun", false));
        }

        /** The body as a JSON object; empty if it is none. */
        public JsonObject json() {
            try {
                return new JsonObject(body);
            } catch (DecodeException e) {
                return new JsonObject();
            }
        }
    }

    public Result get(String url) {
        return call("GET", url, Map.of(), "");
    }

    public Result call(String method, String url, Map<String, String> headers, String body) {
        HttpRequest.BodyPublisher publisher =
                body.isEmpty() ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create(url)).timeout(TIMEOUT).method(method, publisher);
        headers.forEach(request::header);
        try {
            HttpResponse<String> response = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            Map<String, String> answered = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            response.headers().map().forEach((name, values) -> answered.put(name, values.get(0)));
            return new Result(response.statusCode(), answered, response.body(), true);
        } catch (ConnectException | HttpConnectTimeoutException e) {
            return new Result(0, Map.of(), "", false);
        } catch (IOException e) {
            return new Result(0, Map.of(), "", true);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
