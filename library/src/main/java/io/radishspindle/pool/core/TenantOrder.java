package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.DominantShares;
import io.radishspindle.pool.tenant.Entitlements;
import io.radishspindle.pool.tenant.TenantWeights;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * What the order of steps depends on among tenants: which jobs are excess, and which tenants hold more than their part
 * of a full pool. Belongs to its scheduler; not thread-safe.
 *
 * <p>Invariant: a job stays excess, or entitled, for as long as this owner has it.
 */
final class TenantOrder {
    private final TenantWeights weights;
    private final Entitlements entitlements;
    private boolean full;

    TenantOrder(TenantWeights weights) {
        this.weights = weights;
        entitlements = new Entitlements(weights);
    }

    void onArrival(JobState job) {
        String tenant = job.job.tenant();
        job.excess = tenant != null && !entitlements.admit(tenant, job.job.acceptedWallMs());
    }

    /** Decides anew for the jobs that were loaded at a takeover, in the order of their acceptance. */
    void onLoaded(Collection<JobState> jobs) {
        entitlements.clear();
        jobs.stream()
                .sorted(Comparator.comparingLong((JobState job) -> job.job.acceptedWallMs())
                        .thenComparing(job -> job.job.id()))
                .forEach(this::onArrival);
    }

    /** Notes whether the last pass found no room for some waiting task. */
    void onPass(boolean foundNoRoom) {
        full = foundNoRoom;
    }

    /**
     * The tenants that rank behind the others, as the pool is full and they hold more than their part. The pool has the
     * capacity of the workers that have ever answered; a wrong count changes the order only.
     */
    Set<String> behind(Collection<StepState> readySteps, Collection<WorkerState> workers) {
        Set<String> active = new HashSet<>();
        readySteps.forEach(step -> {
            String tenant = step.job.job.tenant();
            if (tenant != null) {
                active.add(tenant);
            }
        });
        if (!full || active.isEmpty()) {
            return Set.of();
        }
        Map<String, Resources> running = new HashMap<>();
        Resources capacity = Resources.NONE;
        for (WorkerState worker : workers) {
            if (!worker.hasEverAnswered()) {
                continue;
            }
            capacity = capacity.plus(worker.entry.capacity());
            for (RunState run : worker.runs.values()) {
                if (run.tenant != null) {
                    running.merge(run.tenant, run.charged, Resources::plus);
                }
            }
        }
        active.addAll(running.keySet());
        return DominantShares.aboveMean(active, running, capacity, weights);
    }
}
