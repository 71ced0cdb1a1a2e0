package io.radishspindle.demo;

import io.radishspindle.standin.EndpointEvent;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What the endpoints themselves recorded. Immutable and thread-safe. */
public final class EndpointHistories {
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> mostAtOnce = new TreeMap<>();

    private EndpointHistories() {}

    /** Reads the records of a cluster as they are now. */
    public static EndpointHistories of(Cluster cluster) {
        return read(cluster.endpointHistories());
    }

    static EndpointHistories read(Path directory) {
        EndpointHistories histories = new EndpointHistories();
        JsonLines.readAll(directory, EndpointEvent.class).forEach(histories::addEndpoint);
        return histories;
    }

    /** How often a request was run. */
    public int runsOf(String requestId) {
        return runs.getOrDefault(requestId, 0);
    }

    /** How many runs of requests were started. */
    public int started() {
        return runs.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Non-idempotent requests that were run more than once. */
    public List<String> nonIdempotentRunTwice() {
        List<String> found = new ArrayList<>();
        runs.forEach((id, count) -> {
            if (id.startsWith("post-") && count > 1) {
                found.add(id + " ran " + count + " times");
            }
        });
        return found;
    }

    /** The largest number of requests that ran at the same time, by endpoint. */
    public Map<String, Integer> mostAtOnce() {
        return Map.copyOf(mostAtOnce);
    }

    private void addEndpoint(List<EndpointEvent> events) {
        int running = 0;
        for (EndpointEvent event : events) {
            if (event.kind() == EndpointEvent.Kind.START) {
                running++;
                runs.merge(event.requestId(), 1, Integer::sum);
                mostAtOnce.merge(event.endpoint(), running, Math::max);
            } else if (event.kind() == EndpointEvent.Kind.END) {
                running--;
            }
        }
    }
}
