package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.TenantDemand;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Sums up what waits for each tenant. Used once; not thread-safe.
 *
 * <p>Invariant: tasks that can't start soon whatever the share of the quota don't count: those that exceed the whole
 * quota, and those beyond the room of the workers in any dimension.
 */
final class TenantDemands {
    /**
     * Part of the capacity that runs about to end will free, as its inverse. Waiting tasks that a full pool has no room
     * for must not draw a quota away from pools that could use it.
     */
    private static final int TURNOVER_DIVISOR = 8;

    private final TenantLimits limits;
    private final long nowMs;
    private final UnitRoom unitRoom;
    private final Resources room;
    /** By tenant, what is left of the room for further steps. */
    private final Map<String, Resources> rest = new HashMap<>();

    private final Map<String, TenantDemand> byTenant = new HashMap<>();

    private TenantDemands(TenantLimits limits, List<WorkerState> usable, long nowMs) {
        this.limits = limits;
        this.nowMs = nowMs;
        unitRoom = new UnitRoom(usable);
        Resources free = Resources.NONE;
        Resources capacity = Resources.NONE;
        for (WorkerState worker : usable) {
            free = free.plus(worker.free().atLeast(Resources.NONE));
            capacity = capacity.plus(worker.entry.capacity());
        }
        room = free.plus(turnover(capacity));
    }

    static Map<String, TenantDemand> of(
            Collection<StepState> readySteps, Collection<WorkerState> workers, TenantLimits limits, long nowMs) {
        List<WorkerState> usable =
                workers.stream().filter(worker -> worker.isUsable(nowMs)).toList();
        TenantDemands demands = new TenantDemands(limits, usable, nowMs);
        workers.forEach(demands::addLasting);
        readySteps.forEach(demands::add);
        return demands.byTenant;
    }

    /** What the end of runs will soon free on workers of a capacity. */
    static Resources turnover(Resources capacity) {
        return new Resources(
                capacity.milliCores() / TURNOVER_DIVISOR,
                capacity.memoryMib() / TURNOVER_DIVISOR,
                capacity.accelerators() / TURNOVER_DIVISOR);
    }

    private void addLasting(WorkerState worker) {
        for (RunState run : worker.runs.values()) {
            if (run.tenant != null && run.task != null && run.task.step.spec.lasting()) {
                TenantDemand before = demand(run.tenant);
                Resources lasting = before.lasting().plus(run.charged);
                byTenant.put(run.tenant, new TenantDemand(before.waiting(), before.unit(), before.unitName(), lasting));
            }
        }
    }

    private void add(StepState step) {
        String tenant = step.job.job.tenant();
        if (tenant == null) {
            return;
        }
        TenantDemand before = demand(tenant);
        Resources stepUnit = step.chargedUnit();
        if (!limits.isAttainable(tenant, stepUnit)) {
            byTenant.put(tenant, before);
            return;
        }
        Resources taken = takeRoom(step, tenant);
        Resources waiting = before.waiting().plus(taken);
        Resources lasting = step.spec.lasting() ? before.lasting().plus(taken) : before.lasting();
        boolean hasRoom = !step.expired && !stepUnit.fitsIn(before.unit()) && unitRoom.hasRoom(step, tenant);
        // A full pool frees room for one task at a time, which may be larger than what soon becomes free on average.
        boolean mayStart = hasRoom || (!step.spec.gang() && !stepUnit.fitsIn(waiting) && unitRoom.mayHoldTask(step));
        boolean stated = hasRoom && RoomPeriods.hasPrecedence(step, nowMs);
        byTenant.put(
                tenant,
                new TenantDemand(
                        mayStart ? waiting.atLeast(stepUnit) : waiting,
                        stated ? before.unit().atLeast(stepUnit) : before.unit(),
                        stated && before.unitName().isEmpty() ? step.name() : before.unitName(),
                        lasting));
    }

    private TenantDemand demand(String tenant) {
        return byTenant.getOrDefault(tenant, TenantDemand.NONE);
    }

    /** Takes the room for as many units of the step as fit in all dimensions; returns what they need. */
    private Resources takeRoom(StepState step, String tenant) {
        Resources left = rest.getOrDefault(tenant, room);
        int waiting = (int) step.waitingTasks();
        int fitting = Math.min(waiting, left.count(step.spec.perTask()));
        Resources taken = step.spec.perTask().times(step.spec.gang() && fitting < waiting ? 0 : fitting);
        rest.put(tenant, left.minus(taken));
        return taken;
    }
}
