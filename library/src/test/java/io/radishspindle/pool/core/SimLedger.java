package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.TenantQuotas;
import java.util.HashMap;
import java.util.Map;

/** Compares what the limits of the tenants count with the runs that a scheduler knows. Stateless; thread-safe. */
final class SimLedger {
    private SimLedger() {}

    /** The limits must know exactly the runs that the scheduler knows. */
    static void check(PoolScheduler scheduler, TenantQuotas limits, SimHistory history) {
        Map<String, Resources> runs = new HashMap<>();
        scheduler.workerStates().stream()
                .flatMap(worker -> worker.runs.values().stream())
                .filter(run -> run.tenant != null)
                .forEach(run -> runs.merge(run.tenant, run.charged, Resources::plus));
        history.quotas.keySet().forEach(tenant -> {
            Resources expected = runs.getOrDefault(tenant, Resources.NONE);
            if (!limits.running(tenant).equals(expected)) {
                history.violation(tenant + " has " + expected + ", its limits count " + limits.running(tenant));
            }
        });
    }
}
