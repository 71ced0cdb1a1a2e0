package io.radishspindle.settings;

import io.radishspindle.settings.Setting.Kind;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * All settings of an entry VM: syntax, defaults, limits and descriptions. The loader and the settings reference both
 * read this list, so they can't differ. Immutable and thread-safe.
 */
final class SettingsSchema {
    private static final double NO_LIMIT = Double.MAX_VALUE;
    private static final double HOUR_MS = 3_600_000;
    private static final double MIB = 1024 * 1024;
    private static final int MIN_KEY_LENGTH = 16;

    static final List<Setting> SETTINGS = List.of(
            text("vm", "id", Kind.NAME, "Id of this VM, unique within the cell and the same as in the VM list."),
            text("vm", "data-centre", Kind.NAME, "Data centre of this VM."),
            text("vm", "region", Kind.NAME, "Region of the data centre."),
            text("vm", "host", Kind.HOST, "IP number at which callers, operators and peers reach this VM."),
            port("callers-port", "8080", "Listener for callers."),
            port("operators-port", "8081", "Listener for operators and metrics."),
            port("peers-port", "8082", "Listener for other entry VMs."),
            optional("peers", "seeds", Kind.SEEDS, "", "Entry VMs that are contacted before the VM list is known."),
            optional("peers", "regions", Kind.REGIONS, "", "Region of each data centre; must name the own one."),
            number(
                    "peers",
                    "shared-key",
                    Kind.SECRET,
                    null,
                    MIN_KEY_LENGTH,
                    1024,
                    "Key with which peers prove that"
                            + " they belong to the cell; at least 16 characters and the same on each VM."),
            duration("peers", "heartbeat", "250ms", 10, HOUR_MS, "Time between heartbeats inside a data centre."),
            duration("peers", "remote-heartbeat", "1s", 10, HOUR_MS, "Time between heartbeats to other data centres."),
            duration("peers", "suspect-after", "1s", 20, HOUR_MS, "Silence after which a peer is suspect."),
            duration("peers", "dead-after", "3s", 30, HOUR_MS, "Silence after which a peer is dead."),
            text("platform", "store", Kind.ADDRESS, "The platform's store."),
            text("platform", "vm-list", Kind.ADDRESS, "The platform's VM list."),
            duration("platform", "vm-list-poll", "5s", 100, HOUR_MS, "Time between reads of the VM list."),
            duration("platform", "timeout", "1s", 10, 60_000, "Time limit of a call to the store or the VM list."),
            number(
                    "ownership",
                    "groups-per-data-centre",
                    Kind.COUNT,
                    "2",
                    1,
                    64,
                    "Groups into which the workers of a"
                            + " data centre are split; the same on each VM of the data centre."),
            duration("ownership", "heartbeat", "1s", 10, 60_000, "Time between control messages to a worker."),
            duration(
                    "ownership",
                    "control-lease",
                    "3s",
                    30,
                    600_000,
                    "How long a worker accepts starts after the" + " last control message."),
            duration("ownership", "run-lease", "6s", 60, 600_000, "How long tasks run after the last control message."),
            duration("ownership", "margin", "1s", 1, 60_000, "Allowance for clock drift in waiting times of leases."),
            duration("routing", "default-deadline", "10s", 1, HOUR_MS, "Deadline of a request that names none."),
            duration("routing", "max-deadline", "60s", 1, HOUR_MS, "Longest deadline that a caller may ask for."),
            number(
                    "routing",
                    "max-queued-per-service",
                    Kind.COUNT,
                    "1000",
                    1,
                    1_000_000,
                    "Bound of a service's queue."),
            number(
                    "routing",
                    "max-queued-per-caller",
                    Kind.COUNT,
                    "200",
                    1,
                    1_000_000,
                    "Bound of a caller's share of" + " a queue."),
            number("routing", "max-body", Kind.SIZE, "512KiB", 1, MIB, "Largest body of a request or a response."),
            number("routing", "max-attempts", Kind.COUNT, "3", 1, 100, "Attempts of a request, the first included."),
            number("routing", "retry-budget", Kind.RATIO, "0.1", 0, 1, "Retries as a share of a service's requests."),
            duration(
                    "routing",
                    "remote-worth-it",
                    "50ms",
                    0,
                    HOUR_MS,
                    "Expected local wait above which a request may" + " cross regions."),
            duration("routing", "probe", "1s", 10, HOUR_MS, "Time between health probes of an endpoint."),
            duration("routing", "drain", "30s", 0, HOUR_MS, "Time limit for requests in flight at a shutdown."));

    private SettingsSchema() {}

    static Optional<Setting> find(String section, String key) {
        return SETTINGS.stream()
                .filter(s -> s.section().equals(section) && s.key().equals(key))
                .findFirst();
    }

    static boolean hasSection(String section) {
        return SETTINGS.stream().anyMatch(s -> s.section().equals(section));
    }

    private static Setting text(String section, String key, Kind kind, String description) {
        return new Setting(section, key, kind, null, 0, NO_LIMIT, description);
    }

    private static Setting optional(String section, String key, Kind kind, String defaultText, String description) {
        return new Setting(section, key, kind, defaultText, 0, NO_LIMIT, description);
    }

    private static Setting port(String key, String defaultText, String description) {
        return new Setting("listen", key, Kind.PORT, defaultText, 0, 65_535, description);
    }

    private static Setting duration(
            String section, String key, String defaultText, double min, double max, String description) {
        return new Setting(section, key, Kind.DURATION, defaultText, min, max, description);
    }

    private static Setting number(
            String section,
            String key,
            Kind kind,
            @Nullable String defaultText,
            double min,
            double max,
            String description) {
        return new Setting(section, key, kind, defaultText, min, max, description);
    }
}
