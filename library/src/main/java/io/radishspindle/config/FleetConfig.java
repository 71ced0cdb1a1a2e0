package io.radishspindle.config;

import io.radishspindle.config.FleetException.Scope;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.PlacementPolicy;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The configuration of the fleet at one revision. Immutable and thread-safe.
 *
 * <p>Invariant: documents of one revision are equal on all VMs; a VM never replaces a document by one of a lower
 * revision.
 *
 * @param revision number of accepted changes
 * @param defaults values that operators have set, by key; keys that this version does not know are kept
 * @param audit newest accepted changes, oldest first
 */
public record FleetConfig(
        long revision, Map<String, String> defaults, List<FleetException> exceptions, List<AuditEntry> audit) {
    /** In force when the store holds no document. */
    public static final FleetConfig BUILT_IN = new FleetConfig(0, Map.of(), List.of(), List.of());

    private static final long MILLI_CORES = 1_000;
    private static final long MIB_PER_GIB = 1_024;

    public FleetConfig {
        defaults = Map.copyOf(defaults);
        exceptions = List.copyOf(exceptions);
        audit = List.copyOf(audit);
    }

    /** Default of the fleet, without exceptions. */
    public String defaultOf(ConfigKey key) {
        return defaults.getOrDefault(key.text(), key.builtIn());
    }

    /** Value in force for one team, service, worker or data centre. */
    public String valueOf(ConfigKey key, Scope scope, String target, long wallMs) {
        return exceptions.stream()
                .filter(e -> e.concerns(key.text(), scope, target) && e.isActiveAt(wallMs))
                .map(FleetException::value)
                .findFirst()
                .orElseGet(() -> defaultOf(key));
    }

    /** Retries of a service as a share of its requests. */
    public double retryBudget(String service, long wallMs) {
        return Double.parseDouble(valueOf(ConfigKey.RETRY_BUDGET, Scope.SERVICE, service, wallMs));
    }

    public int maxQueuedPerService(String service, long wallMs) {
        return Integer.parseInt(valueOf(ConfigKey.MAX_QUEUED_PER_SERVICE, Scope.SERVICE, service, wallMs));
    }

    public int maxQueuedPerCaller(String service, long wallMs) {
        return Integer.parseInt(valueOf(ConfigKey.MAX_QUEUED_PER_CALLER, Scope.SERVICE, service, wallMs));
    }

    /** Whether a worker may get new work: neither it nor its data centre is excluded. */
    public boolean acceptsWork(String workerId, String dataCentre, long wallMs) {
        return Boolean.parseBoolean(valueOf(ConfigKey.ACCEPT_WORK, Scope.WORKER, workerId, wallMs))
                && Boolean.parseBoolean(valueOf(ConfigKey.ACCEPT_WORK, Scope.DATA_CENTRE, dataCentre, wallMs));
    }

    /** Policy in force at a wall-clock time, without exceptions for data centres. */
    public PlacementPolicy policyAt(long wallMs) {
        return policyAt(wallMs, "");
    }

    /** Policy in force in a data centre at a wall-clock time. */
    public PlacementPolicy policyAt(long wallMs, String dataCentre) {
        Map<String, Resources> quotas = new HashMap<>();
        for (FleetException e : exceptions) {
            if (e.scope() == Scope.TEAM && e.isActiveAt(wallMs)) {
                quotas.computeIfAbsent(e.target(), team -> quota(team, wallMs));
            }
        }
        return new PlacementPolicy(
                quota("", wallMs),
                quotas,
                Integer.parseInt(valueOf(ConfigKey.MAX_QUEUED_TASKS, Scope.DATA_CENTRE, dataCentre, wallMs)),
                Boolean.parseBoolean(valueOf(ConfigKey.PREEMPT_FOR_URGENT, Scope.DATA_CENTRE, dataCentre, wallMs)));
    }

    private Resources quota(String team, long wallMs) {
        return new Resources(
                MILLI_CORES * Long.parseLong(valueOf(ConfigKey.TEAM_QUOTA_CORES, Scope.TEAM, team, wallMs)),
                MIB_PER_GIB * Long.parseLong(valueOf(ConfigKey.TEAM_QUOTA_MEMORY, Scope.TEAM, team, wallMs)),
                Integer.parseInt(valueOf(ConfigKey.TEAM_QUOTA_ACCELERATORS, Scope.TEAM, team, wallMs)));
    }

    /** All keys with the defaults in force, ordered by name. */
    public Map<String, String> effectiveDefaults() {
        Map<String, String> all = new TreeMap<>(defaults);
        for (ConfigKey key : ConfigKey.values()) {
            all.putIfAbsent(key.text(), key.builtIn());
        }
        return all;
    }

    /** Whether the newest audit entries hold a change with this id. */
    boolean contains(String changeId) {
        return audit.stream().anyMatch(entry -> entry.changeId().equals(changeId));
    }
}
