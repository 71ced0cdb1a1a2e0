package io.radishspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

/** Carries out one command and renders its answer. Not thread-safe. */
final class Commands {
    private static final List<String> JOB_COLUMNS = List.of(
            "jobId",
            "team",
            "jobClass",
            "phase",
            "group",
            "tasks",
            "waiting",
            "open",
            "running",
            "succeeded",
            "failed");

    /**
     * What a command prints.
     *
     * @param notes what the operator has to know about the answer, for example VMs that can't be reached
     */
    record Output(String text, List<String> notes) {}

    private final OperatorClient client;
    private final Namespace arguments;
    private final String actor;
    private final List<String> notes = new ArrayList<>();

    Commands(OperatorClient client, Namespace arguments, String actor) {
        this.client = client;
        this.arguments = arguments;
        this.actor = actor;
    }

    Output run() {
        String command = arguments.getString(Arguments.COMMAND);
        String text =
                switch (command) {
                    case "defaults list" -> defaults();
                    case "defaults set" -> change("/config/defaults", keyAndValue());
                    case "exceptions list" -> exceptions();
                    case "exceptions add" -> change("/config/exceptions", exception());
                    case "exceptions end" -> change("/config/exceptions/" + encoded("id") + "/end", object());
                    case "config status" -> status();
                    case "config history" -> audit("/audit?limit=20");
                    case "audit" -> audit("/audit?" + auditQuery());
                    case "jobs list" -> jobs();
                    case "jobs show", "jobs explain" -> job(client.get("/jobs/" + encoded("id") + "/explain"));
                    case "jobs cancel" -> job(client.delete("/jobs/" + encoded("id")));
                    default -> listing(command);
                };
        return new Output(text, List.copyOf(notes));
    }

    private boolean json() {
        return arguments.getBoolean("json");
    }

    private static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    private String encoded(String name) {
        return URLEncoder.encode(arguments.getString(name), StandardCharsets.UTF_8);
    }

    private String defaults() {
        JsonNode answer = client.get("/config/defaults");
        return json()
                ? answer.toPrettyString() + "\n"
                : Listing.table(answer.path("defaults"), List.of("key", "value", "builtIn", "expected")) + "revision "
                        + answer.path("revision").asLong() + "\n";
    }

    private String exceptions() {
        JsonNode answer = client.get("/config/exceptions");
        List<String> columns = List.of("id", "key", "value", "scope", "target", "endsAt", "active", "actor", "reason");
        return json()
                ? answer.toPrettyString() + "\n"
                : Listing.table(answer.path("exceptions"), columns) + "revision "
                        + answer.path("revision").asLong() + "\n";
    }

    private ObjectNode keyAndValue() {
        return object().put("key", arguments.getString("key")).put("value", arguments.getString("value"));
    }

    private ObjectNode exception() {
        String target = arguments.getString("target");
        int colon = target.indexOf(':');
        if (colon < 1) {
            throw new CommandException(ExitCode.USAGE, "--for: '" + target + "' is not SCOPE:NAME");
        }
        return keyAndValue()
                .put("scope", target.substring(0, colon))
                .put("target", target.substring(colon + 1))
                .put("endsAt", arguments.getString("until"));
    }

    private String change(String path, ObjectNode body) {
        @Nullable Long basedOn = arguments.getLong("based_on");
        if (basedOn == null) {
            basedOn = client.get("/config/defaults").path("revision").asLong();
        }
        body.put("basedOn", basedOn).put("actor", actor).put("reason", arguments.getString("reason"));
        JsonNode answer = client.post(path, body);
        return json()
                ? answer.toPrettyString() + "\n"
                : "revision " + answer.path("revision").asLong() + ": "
                        + answer.path("change").path("action").asText() + "\n";
    }

    private String status() {
        JsonNode answer = client.get("/config/status");
        noteUnreachable(answer);
        List<String> columns = List.of("vm", "dataCentre", "liveness", "revision", "behind");
        return json()
                ? answer.toPrettyString() + "\n"
                : Listing.table(answer.path("vms"), columns) + "newest revision "
                        + answer.path("revision").asLong() + "\n";
    }

    private String auditQuery() {
        StringBuilder query = new StringBuilder("limit=" + arguments.getInt("limit"));
        append(query, "actor", arguments.getString("by"));
        append(query, "text", arguments.getString("text"));
        append(query, "since", arguments.getString("since"));
        append(query, "until", arguments.getString("until"));
        return query.toString();
    }

    private static void append(StringBuilder query, String name, @Nullable String value) {
        if (value != null) {
            query.append('&').append(name).append('=').append(URLEncoder.encode(value, StandardCharsets.UTF_8));
        }
    }

    private String audit(String path) {
        JsonNode answer = client.get(path);
        if (!answer.path("complete").asBoolean()) {
            notes.add("incomplete: " + answer.path("missing").asText());
        }
        if (json()) {
            StringBuilder lines = new StringBuilder();
            answer.path("entries").forEach(entry -> lines.append(entry).append('\n'));
            return lines.toString();
        }
        Table table = new Table("revision", "time", "actor", "vm", "action", "before", "reason");
        for (JsonNode entry : answer.path("entries")) {
            table.add(
                    entry.path("revision").asLong(),
                    Instant.ofEpochMilli(entry.path("atMs").asLong()),
                    entry.path("actor").asText(),
                    entry.path("vm").asText(),
                    entry.path("action").asText(),
                    entry.path("before").asText(),
                    entry.path("reason").asText());
        }
        return table.render();
    }

    private String jobs() {
        JsonNode answer = client.get("/jobs?limit=" + arguments.getInt("limit"));
        if (!answer.path("missingGroups").isEmpty()) {
            notes.add("incomplete: groups without an answer: " + answer.path("missingGroups"));
        }
        return json() ? answer.toPrettyString() + "\n" : Listing.table(answer.path("jobs"), JOB_COLUMNS);
    }

    private String job(JsonNode answer) {
        if (json()) {
            return answer.toPrettyString() + "\n";
        }
        StringBuilder text = new StringBuilder();
        answer.fields().forEachRemaining(field -> text.append(field.getKey())
                .append(": ")
                .append(field.getValue().asText())
                .append('\n'));
        return text.toString();
    }

    private String listing(String command) {
        JsonNode answer = client.get("/" + command);
        noteUnreachable(answer);
        if (json()) {
            return answer.toPrettyString() + "\n";
        }
        for (Listing listing : Listing.values()) {
            if (listing.command().equals(command)) {
                return listing.table(answer);
            }
        }
        throw new IllegalStateException("command without a handler: " + command);
    }

    private void noteUnreachable(JsonNode answer) {
        if (!answer.path("unreachable").isEmpty()) {
            List<String> ids = new ArrayList<>();
            answer.path("unreachable").forEach(id -> ids.add(id.asText()));
            notes.add("incomplete: VM " + answer.path("answeredBy").asText() + " does not reach "
                    + String.join(", ", ids) + "; what it shows of them may be old");
        }
    }

    /** Name of the person at the terminal. */
    static String defaultActor() {
        return Objects.requireNonNullElse(System.getProperty("user.name"), "unknown");
    }
}
