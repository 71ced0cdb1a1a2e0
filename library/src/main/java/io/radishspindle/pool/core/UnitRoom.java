package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether the usable workers have, or will soon have, room for a task or a gang as a whole, so that only the
 * quota of its tenant holds it back. Used for one sum of the demands; not thread-safe.
 *
 * <p>Invariant: runs of another tenant count as room only if they have a lower priority than the step.
 */
final class UnitRoom {
    private record Owner(String tenant, int priority) {}

    private final Collection<WorkerState> workers;
    private final Map<Owner, Map<WorkerState, Resources>> rooms = new HashMap<>();

    /** @param workers usable workers */
    UnitRoom(Collection<WorkerState> workers) {
        this.workers = workers;
    }

    /** Returns whether some worker is large enough for one task. */
    boolean mayHoldTask(StepState step) {
        return workers.stream().anyMatch(worker -> mayHold(step, worker));
    }

    /** Returns whether one task, or all members of a gang, fit on the workers now or soon. */
    boolean hasRoom(StepState step, String tenant) {
        Owner owner = new Owner(tenant, step.job.job.priority());
        Map<WorkerState, Resources> room = rooms.computeIfAbsent(owner, this::room);
        long missing = step.spec.gang() ? step.tasks.size() : 1;
        for (WorkerState worker : workers) {
            if (missing > 0 && mayHold(step, worker)) {
                int fitting = room.getOrDefault(worker, Resources.NONE).count(step.spec.reserved());
                missing -= step.spec.maxPerWorker() > 0 ? Math.min(fitting, step.spec.maxPerWorker()) : fitting;
            }
        }
        return missing <= 0;
    }

    private Map<WorkerState, Resources> room(Owner owner) {
        Map<WorkerState, Resources> room = new HashMap<>();
        for (WorkerState worker : workers) {
            Resources soon = worker.free().plus(TenantDemands.turnover(worker.entry.capacity()));
            for (RunState run : worker.runs.values()) {
                if (makesRoom(run, owner)) {
                    soon = soon.plus(run.reserved);
                }
            }
            room.put(worker, soon.atMost(worker.entry.capacity()));
        }
        return room;
    }

    private static boolean makesRoom(RunState run, Owner owner) {
        if (run.task == null || run.phase == RunState.Phase.STOPPING) {
            return true;
        }
        StepState step = run.task.step;
        boolean endsBefore = owner.tenant().equals(run.tenant) || step.job.job.priority() > owner.priority();
        return endsBefore && !step.spec.lasting();
    }

    private static boolean mayHold(StepState step, WorkerState worker) {
        boolean approvable = step.job.job.advice() == null
                || !step.queriedWorkers.contains(worker.id())
                || step.tickets.containsKey(worker.id());
        boolean labelled = step.spec.label().isEmpty() || worker.entry.labels().contains(step.spec.label());
        return approvable && labelled && step.spec.reserved().fitsIn(worker.entry.capacity());
    }
}
