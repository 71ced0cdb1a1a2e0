package io.radishspindle.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;

/** Commands that list one kind of thing: the path of the interface and the columns of the table. */
enum Listing {
    VMS("vms", "list entry VMs", "id", "dataCentre", "liveness", "configRevision", "host", "port"),
    WORKERS(
            "workers",
            "list workers",
            "id",
            "dataCentre",
            "rack",
            "milliCores",
            "memoryMib",
            "accelerators",
            "leaving"),
    GROUPS(
            "groups",
            "list groups of workers and their owners",
            "group",
            "owner",
            "ownerLiveness",
            "epoch",
            "ready",
            "queuedTasks",
            "freeMilliCores",
            "freeMemoryMib",
            "freeAccelerators"),
    ENDPOINTS(
            "endpoints",
            "list endpoints of services",
            "id",
            "service",
            "dataCentre",
            "liveness",
            "slots",
            "host",
            "port");

    private final String command;
    private final String help;

    @SuppressWarnings("ImmutableEnumChecker") // List.of gives a list that can't be modified.
    private final List<String> columns;

    Listing(String command, String help, String... columns) {
        this.command = command;
        this.help = help;
        this.columns = List.of(columns);
    }

    String command() {
        return command;
    }

    String help() {
        return help;
    }

    String table(JsonNode answer) {
        return Listing.table(answer.path("items"), columns);
    }

    /** A table of objects with one column per field. */
    static String table(JsonNode items, List<String> columns) {
        Table table = new Table(columns.toArray(String[]::new));
        for (JsonNode item : items) {
            table.add(columns.stream().map(column -> item.path(column).asText()).toArray());
        }
        return table.render();
    }
}
