package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Plans which runs of lower priority to stop for tasks that have waited too long, such that the least work is lost.
 * Used for one pass; not thread-safe.
 *
 * <p>Invariants: a task of a plan has a ticket for its worker that is still valid once the stops have ended; runs that
 * end by themselves until then are not stopped; a plan for a gang has a worker for each of its members.
 */
final class Preemptor {
    private final Placer placer;
    private final VictimSelection selection;
    private final ExpectedEnds ends;
    private final PreemptionBudget budget;
    /** Time at which runs that are stopped now have ended. */
    private final long helpsAtMs;

    Preemptor(Placer placer, ExpectedEnds ends, PreemptionBudget budget, long nowMs) {
        this.placer = placer;
        this.ends = ends;
        this.budget = budget;
        helpsAtMs = nowMs + ExpectedEnds.STOP_MS;
        selection = new VictimSelection(ends, nowMs, helpsAtMs);
    }

    /** Plans the start of at most {@code count} tasks, of as many as preemption can help. */
    PreemptionPlan planTasks(StepState step, int count) {
        return plan(step, count, 1);
    }

    /** Plans the start of all members of a gang. */
    PreemptionPlan planGang(StepState step) {
        return plan(step, step.tasks.size(), step.tasks.size());
    }

    private PreemptionPlan plan(StepState step, int count, int atLeast) {
        if (!budget.allowsBeyond(0)) {
            return PreemptionPlan.NONE;
        }
        List<WorkerRoom> eligible = placer.rooms().stream()
                .filter(room -> room.usable
                        && placer.mayRun(step, room.worker)
                        && placer.hasTicketUntil(step, room.worker, helpsAtMs))
                .toList();
        if (eligible.isEmpty()) {
            return PreemptionPlan.NONE;
        }
        PreemptionPlan plan = planByRack(step, eligible, count, atLeast, 0);
        return plan.isEmpty() ? planByRack(step, eligible, count, atLeast, gainPerTask(step)) : plan;
    }

    /** Plans on the racks on which tasks of the step are fastest; on all workers if these racks don't suffice. */
    private PreemptionPlan planByRack(
            StepState step, List<WorkerRoom> eligible, int count, int atLeast, double repeatedLossLimit) {
        PreemptionPlan best = PreemptionPlan.NONE;
        for (List<WorkerRoom> rack : preferredRacks(step, eligible)) {
            PreemptionPlan plan = planOn(step, rack, count, repeatedLossLimit);
            if (plan.rooms().size() >= atLeast && plan.isBetterThan(best)) {
                best = plan;
            }
        }
        if (!best.isEmpty()) {
            return best;
        }
        PreemptionPlan plan = planOn(step, eligible, count, repeatedLossLimit);
        return plan.rooms().size() >= atLeast ? plan : PreemptionPlan.NONE;
    }

    private double gainPerTask(StepState step) {
        return Work.cores(step.spec.reserved()) * ends.runMs(step);
    }

    /** Groups of workers on which tasks of the step are fastest. */
    private static List<List<WorkerRoom>> preferredRacks(StepState step, List<WorkerRoom> rooms) {
        if (!step.spec.rack().isEmpty()) {
            return List.of(rooms.stream()
                    .filter(room -> room.worker.entry.rack().equals(step.spec.rack()))
                    .toList());
        }
        if (!step.spec.sameRack()) {
            return List.of();
        }
        Map<String, List<WorkerRoom>> byRack = new HashMap<>();
        rooms.forEach(room -> byRack.computeIfAbsent(room.worker.entry.rack(), rack -> new ArrayList<>())
                .add(room));
        return List.copyOf(byRack.values());
    }

    /** Plans tasks one after the other, each on the worker where its start loses the least work. */
    private PreemptionPlan planOn(StepState step, List<WorkerRoom> rooms, int count, double repeatedLossLimit) {
        List<Offer> offers = new ArrayList<>();
        for (WorkerRoom room : rooms) {
            Offer offer = new Offer(step, room, repeatedLossLimit);
            if (offer.next != null) {
                offers.add(offer);
            }
        }
        List<WorkerRoom> chosen = new ArrayList<>();
        Set<RunState> victims = new LinkedHashSet<>();
        double lost = 0;
        while (chosen.size() < count && (step.spec.gang() || budget.allowsBeyond(lost))) {
            Offer best = null;
            for (Offer offer : offers) {
                if (offer.next != null && (best == null || offer.lossOfNext() < best.lossOfNext())) {
                    best = offer;
                }
            }
            if (best == null) {
                break;
            }
            lost += best.lossOfNext();
            victims.addAll(best.take());
            chosen.add(best.room);
        }
        return new PreemptionPlan(chosen, List.copyOf(victims), lost, gainPerTask(step) * chosen.size());
    }

    /** The victims on one worker for its next task. */
    private final class Offer {
        final WorkerRoom room;
        private final StepState step;
        private final double repeatedLossLimit;
        private final Set<RunState> taken = new LinkedHashSet<>();
        private int tasks;
        private VictimSelection.@Nullable Victims next;

        Offer(StepState step, WorkerRoom room, double repeatedLossLimit) {
            this.step = step;
            this.room = room;
            this.repeatedLossLimit = repeatedLossLimit;
            advance();
        }

        double lossOfNext() {
            return next == null ? Double.MAX_VALUE : next.lostCoreMs();
        }

        List<RunState> take() {
            List<RunState> runs = next == null ? List.of() : next.runs();
            taken.addAll(runs);
            tasks++;
            advance();
            return runs;
        }

        private void advance() {
            int limit = step.spec.maxPerWorker();
            if (limit > 0 && step.tasksOn(room.worker.id()) + tasks >= limit) {
                next = null;
                return;
            }
            Resources need = step.spec.reserved().times(tasks + 1);
            next = selection.select(step, room, need, taken, repeatedLossLimit);
        }
    }
}
