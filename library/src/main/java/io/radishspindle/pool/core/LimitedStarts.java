package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * Applies the limits of the tenants in one scheduling pass, in which steps are offered in rank order. Not thread-safe.
 *
 * <p>Invariant: a step beyond the limits of its tenant has no effect on the steps of other tenants.
 */
final class LimitedStarts {
    private final TenantLimits limits;
    private final long nowMs;
    /** What steps offered so far are expected to start soon, by tenant. */
    private final Map<String, Resources> expected = new HashMap<>();
    /** By tenant, the resources of which all room is kept for steps that were offered before; 0 for the others. */
    private final Map<String, Resources> kept = new HashMap<>();

    LimitedStarts(TenantLimits limits, long nowMs) {
        this.limits = limits;
        this.nowMs = nowMs;
    }

    /** Returns whether a task of the step, or its gang as a whole, may start now. */
    boolean allow(StepState step) {
        String tenant = step.job.job.tenant();
        if (tenant == null) {
            return true;
        }
        Resources unit = step.chargedUnit();
        if (overlaps(kept.getOrDefault(tenant, Resources.NONE), unit)) {
            return false;
        }
        if (limits.allows(tenant, unit)) {
            return true;
        }
        if (RoomPeriods.hasPrecedence(step, nowMs) && limits.isAttainable(tenant, unit)) {
            kept.merge(tenant, lacking(tenant, unit), Resources::atLeast);
        }
        return false;
    }

    private static boolean overlaps(Resources first, Resources second) {
        return (first.milliCores() > 0 && second.milliCores() > 0)
                || (first.memoryMib() > 0 && second.memoryMib() > 0)
                || (first.accelerators() > 0 && second.accelerators() > 0);
    }

    /** The part of an amount in those dimensions in which the tenant has no room for it. */
    private Resources lacking(String tenant, Resources unit) {
        Resources processor = new Resources(unit.milliCores(), 0, 0);
        Resources memory = new Resources(0, unit.memoryMib(), 0);
        Resources accelerators = new Resources(0, 0, unit.accelerators());
        return Stream.of(processor, memory, accelerators)
                .filter(part -> !limits.allows(tenant, part))
                .reduce(Resources.NONE, Resources::plus);
    }

    /** Reserves room of the tenant for the step's waiting tasks; returns for how many there is room. */
    int reserve(StepState step) {
        int waiting = (int) step.waitingTasks();
        String tenant = step.job.job.tenant();
        if (tenant == null || waiting == 0) {
            return waiting;
        }
        int tasks = step.spec.gang() ? gangRoom(step, tenant, waiting) : taskRoom(step, tenant, waiting);
        expected.merge(tenant, step.spec.perTask().times(tasks), Resources::plus);
        return tasks;
    }

    /** Returns how many of the step's waiting tasks, at most {@code count}, the tenant has room for. */
    int room(StepState step, int count) {
        String tenant = step.job.job.tenant();
        return tenant == null ? count : taskRoom(step, tenant, count);
    }

    private int gangRoom(StepState step, String tenant, int waiting) {
        return hasRoom(tenant, step.chargedUnit()) ? waiting : 0;
    }

    /** The highest number of tasks that fit, by bisection. */
    private int taskRoom(StepState step, String tenant, int waiting) {
        int fits = 0;
        int exceeds = waiting + 1;
        while (exceeds - fits > 1) {
            int middle = (fits + exceeds) / 2;
            if (hasRoom(tenant, step.spec.perTask().times(middle))) {
                fits = middle;
            } else {
                exceeds = middle;
            }
        }
        return fits;
    }

    private boolean hasRoom(String tenant, Resources amount) {
        @Nullable Resources before = expected.get(tenant);
        return limits.allows(tenant, before == null ? amount : before.plus(amount));
    }
}
