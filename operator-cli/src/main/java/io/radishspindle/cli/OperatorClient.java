package io.radishspindle.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/**
 * Calls the operators' interface of the first server that can be reached. A change is sent to another server only if it
 * certainly did not reach the one before. Not thread-safe.
 */
final class OperatorClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    /** A change may take 10 s when the store's answers are lost. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int FIRST_ERROR_STATUS = 400;

    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(CONNECT_TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    private final List<String> servers;
    private final String actor;

    /** @param servers operators' listeners as {@code host:port}, tried in this order */
    OperatorClient(List<String> servers, String actor) {
        this.servers = servers;
        this.actor = actor;
    }

    JsonNode get(String path) {
        return call("GET", path, "");
    }

    JsonNode delete(String path) {
        return call("DELETE", path, "");
    }

    JsonNode post(String path, JsonNode body) {
        return call("POST", path, body.toString());
    }

    private JsonNode call(String method, String path, String body) {
        StringBuilder problems = new StringBuilder();
        for (String server : servers) {
            try {
                return checked(server, send(server, method, path, body));
            } catch (ConnectException | HttpConnectTimeoutException e) {
                problems.append(problems.isEmpty() ? "" : "; ").append(server).append(": can't connect");
            } catch (IOException e) {
                if (!method.equals("GET")) {
                    throw new CommandException(
                            ExitCode.UNKNOWN, server + ": the connection broke before the answer: " + e);
                }
                problems.append(problems.isEmpty() ? "" : "; ")
                        .append(server)
                        .append(": ")
                        .append(e);
            }
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "no server answered: " + problems);
    }

    private HttpResponse<String> send(String server, String method, String path, String body) throws IOException {
        HttpRequest request = HttpRequest.newBuilder(uri(server, path))
                .timeout(REQUEST_TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Caller", actor)
                .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
                .build();
        try {
            return http.send(request, BodyHandlers.ofString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNKNOWN, "interrupted");
        }
    }

    private static URI uri(String server, String path) {
        try {
            return URI.create("http://" + server + path);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, "--server: '" + server + "' is not host:port");
        }
    }

    private static JsonNode checked(String server, HttpResponse<String> response) {
        JsonNode body;
        try {
            body = MAPPER.readTree(response.body());
        } catch (JsonProcessingException e) {
            body = MAPPER.createObjectNode();
        }
        if (response.statusCode() < FIRST_ERROR_STATUS) {
            return body;
        }
        String message = body.path("message").asText("status " + response.statusCode());
        throw new CommandException(exitCode(body), server + ": " + message);
    }

    private static ExitCode exitCode(JsonNode failure) {
        if (!failure.path("notRun").asBoolean(true)) {
            return ExitCode.UNKNOWN;
        }
        String code = failure.path("code").asText();
        if (code.equals("CONFLICT")) {
            return ExitCode.CONFLICT;
        }
        return failure.path("retryAfterMs").asLong() > 0 ? ExitCode.UNAVAILABLE : ExitCode.REFUSED;
    }
}
