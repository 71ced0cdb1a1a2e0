package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Preempts running tasks to free capacity for a waiting one and earmarks the capacity for it. Not thread-safe.
 *
 * <p>Earmarks are set anew in each pass: preferably on workers on which enough is being stopped
 * already, otherwise on the worker on which the least work is lost.
 */
final class Preemptor {
    /** Makes workers with accelerators the last choice for tasks that need none. */
    private static final double ACCELERATOR_PENALTY = 1e12;

    private record Plan(WorkerState worker, List<Attempt> victims, double lostWork) {}

    private final Context context;
    private final WorkerTable workers;
    private final AttemptStopper stopper;
    private final Set<WorkerState> earmarked = new HashSet<>();

    Preemptor(Components components) {
        this.context = components.context;
        this.workers = components.workers;
        this.stopper = components.stopper;
    }

    void clear() {
        earmarked.forEach(worker -> worker.earmarked = Resources.NONE);
        earmarked.clear();
    }

    boolean hasEarmarks() {
        return !earmarked.isEmpty();
    }

    /**
     * Earmarks capacity for a task and stops attempts if necessary. Returns null if no worker can provide the capacity.
     */
    @Nullable
    WorkerState preemptFor(Resources demand, Predicate<Attempt> mayStop, StopReason reason) {
        Plan best = null;
        for (WorkerState worker : workers.all()) {
            if (!worker.isUsable() || !demand.fitsIn(worker.info.capacity())) {
                continue;
            }
            Plan plan = plan(worker, demand, mayStop);
            if (plan != null && (best == null || plan.lostWork() < best.lostWork())) {
                best = plan;
            }
        }
        if (best == null) {
            return null;
        }
        earmark(best.worker(), demand);
        best.victims().forEach(victim -> stopper.stop(victim, reason));
        return best.worker();
    }

    void earmark(WorkerState worker, Resources demand) {
        worker.earmarked = worker.earmarked.plus(demand);
        earmarked.add(worker);
    }

    /**
     * Earmarks the worker with the largest part of the demand free or being freed, for a task for which nothing may be
     * stopped. Otherwise smaller tasks would take each amount that becomes free.
     */
    void earmarkLargest(Resources demand) {
        WorkerState best = null;
        double largest = -Double.MAX_VALUE;
        for (WorkerState worker : workers.all()) {
            if (worker.isUsable() && demand.fitsIn(worker.info.capacity())) {
                double ratio =
                        ResourceRatios.fitRatio(demand, worker.freeForOthers().plus(worker.stopping));
                if (ratio > largest) {
                    best = worker;
                    largest = ratio;
                }
            }
        }
        if (best != null) {
            earmark(best, demand);
        }
    }

    private @Nullable Plan plan(WorkerState worker, Resources demand, Predicate<Attempt> mayStop) {
        Resources available = worker.free.plus(worker.stopping).minus(worker.earmarked);
        double penalty = demand.accelerators() == 0 && worker.hasAccelerators() ? ACCELERATOR_PENALTY : 0;
        if (demand.fitsIn(available)) {
            return new Plan(worker, List.of(), penalty);
        }
        List<Attempt> candidates = new ArrayList<>();
        for (Attempt attempt : worker.attempts.values()) {
            if (!attempt.isStopping() && mayStop.test(attempt)) {
                candidates.add(attempt);
            }
        }
        candidates.sort(Comparator.comparingDouble(this::lostWork));
        List<Attempt> victims = chooseVictims(candidates, demand, available);
        if (victims == null) {
            return null;
        }
        double lost = victims.stream().mapToDouble(this::lostWork).sum();
        return new Plan(worker, victims, lost + penalty);
    }

    private @Nullable List<Attempt> chooseVictims(List<Attempt> candidates, Resources demand, Resources available) {
        List<Attempt> victims = new ArrayList<>();
        Resources freed = available;
        for (Attempt attempt : candidates) {
            if (demand.fitsIn(freed)) {
                break;
            }
            victims.add(attempt);
            freed = freed.plus(attempt.charged);
        }
        if (!demand.fitsIn(freed)) {
            return null;
        }
        return withoutUnneeded(victims, demand, freed);
    }

    private static List<Attempt> withoutUnneeded(List<Attempt> victims, Resources demand, Resources freed) {
        List<Attempt> needed = new ArrayList<>();
        Resources left = freed;
        for (int i = victims.size() - 1; i >= 0; i--) {
            Resources without = left.minus(victims.get(i).charged);
            if (demand.fitsIn(without)) {
                left = without;
            } else {
                needed.add(victims.get(i));
            }
        }
        return needed;
    }

    /**
     * Milli-core milliseconds of work that are lost if the attempt is stopped, plus one so that fewer victims are
     * preferred.
     */
    private double lostWork(Attempt attempt) {
        return (double) attempt.charged.milliCores() * (context.nowMs - attempt.startedAtMs) + 1;
    }
}
