package io.radishspindle.routing;

import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selects the end-to-end headers, which are passed on to the next connection. Stateless and thread-safe. */
final class EndToEndHeaders {
    /** Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the HTTP libraries write themselves. */
    private static final Set<String> PER_CONNECTION = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host",
            "content-length");
    /** Signals of executors to the entry VMs. */
    private static final Set<String> EXECUTOR_SIGNALS = Set.of("not-run", "leaving");

    private EndToEndHeaders() {}

    static List<Map.Entry<String, String>> ofRequest(MultiMap headers) {
        return select(headers, Set.of("deadline-ms"));
    }

    static List<Map.Entry<String, String>> ofResponse(MultiMap headers) {
        return select(headers, EXECUTOR_SIGNALS);
    }

    private static List<Map.Entry<String, String>> select(MultiMap headers, Set<String> dropped) {
        Set<String> named = Set.copyOf(connectionOptions(headers));
        List<Map.Entry<String, String>> kept = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!PER_CONNECTION.contains(name) && !dropped.contains(name) && !named.contains(name)) {
                kept.add(Map.entry(header.getKey(), header.getValue()));
            }
        }
        return kept;
    }

    /** Names of further hop-by-hop headers, as listed in the header Connection. */
    private static List<String> connectionOptions(MultiMap headers) {
        List<String> options = new ArrayList<>();
        for (String value : headers.getAll("Connection")) {
            for (String option : value.split(",", -1)) {
                String name = option.strip().toLowerCase(Locale.ROOT);
                if (!options.contains(name)) {
                    options.add(name);
                }
            }
        }
        return options;
    }
}
