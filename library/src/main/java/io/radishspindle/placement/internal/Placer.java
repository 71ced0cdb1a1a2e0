package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Selects the tasks to start in each pass: urgent tasks, then services, gangs and batch tasks. Not thread-safe.
 *
 * <p>A pass runs only if something has changed since the last one, or once a second while tasks wait, because
 * reservations and borrowed resources also depend on time.
 */
final class Placer {
    private static final long IDLE_PASS_AFTER_MS = 1_000;
    /** A task that has waited this long while smaller ones start gets a reservation. */
    private static final long STARVED_AFTER_MS = 60_000;

    private final Context context;
    private final Queues queues;
    private final WorkerTable workers;
    private final Preemptor preemptor;
    private final Reservations reservations;
    private final UrgentPass urgent;
    private final GangPass gangs;
    private final FairPass fair;
    private final QuotaReclaimer quotaReclaimer;
    private long nextIdlePassAtMs;
    private long pass;
    /** Whether tasks that need accelerators wait; others then leave cores and memory free for idle accelerators. */
    private boolean acceleratorsWanted;

    Placer(Components components) {
        this.context = components.context;
        this.queues = components.queues;
        this.workers = components.workers;
        this.preemptor = new Preemptor(components);
        this.reservations = new Reservations(components);
        this.urgent = new UrgentPass(components, preemptor);
        this.gangs = new GangPass(components, reservations);
        this.fair = new FairPass(components, reservations);
        this.quotaReclaimer = new QuotaReclaimer(components, preemptor);
    }

    void run() {
        boolean due = queues.waitingTasks() > 0 && context.nowMs >= nextIdlePassAtMs;
        if (!context.mayStart || !(queues.changed || due)) {
            return;
        }
        queues.changed = false;
        nextIdlePassAtMs = context.nowMs + IDLE_PASS_AFTER_MS;
        pass++;
        preemptor.clear();
        reservations.refresh();
        urgent.run();
        quotaReclaimer.startFromHolds();
        fair.run(queues.of(JobClass.SERVICE), this::chooseForService);
        gangs.run();
        reserveForStarved();
        acceleratorsWanted = queues.shapes.isAnyWithAccelerators();
        fair.run(queues.of(JobClass.BATCH), this::chooseForBatch);
        quotaReclaimer.run();
    }

    private @Nullable WorkerState chooseForService(JobState job) {
        WorkerState best = null;
        double bestScore = Double.MAX_VALUE;
        for (WorkerState worker : workers.all()) {
            if (!worker.isUsable() || !job.demand.fitsIn(worker.freeForOthers()) || !reservations.allows(job, worker)) {
                continue;
            }
            double score = spreadScore(job, worker);
            if (score < bestScore) {
                best = worker;
                bestScore = score;
            }
        }
        return chosen(job, best);
    }

    /** Fewest replicas in the rack first, then workers without accelerators, then best fit. */
    private static double spreadScore(JobState job, WorkerState worker) {
        double tier = job.demand.accelerators() == 0 && worker.hasAccelerators() ? 100 : 0;
        return 1_000.0 * job.replicasIn(worker.info.rack()) + tier + WorkerTable.leftover(worker, job.demand);
    }

    private @Nullable WorkerState chooseForBatch(JobState job) {
        Predicate<WorkerState> allowed = worker -> reservations.allows(job, worker)
                && (!acceleratorsWanted || WorkerTable.leavesAcceleratorsUsable(worker, job.demand));
        return chosen(job, workers.bestFit(job.demand, allowed));
    }

    private @Nullable WorkerState chosen(JobState job, @Nullable WorkerState worker) {
        if (worker != null) {
            reservations.noteStart(job, worker);
        } else {
            blockIfNoFit(job);
        }
        return worker;
    }

    /** Blocks a shape that fits on no worker even without earmarks and reservations. */
    private void blockIfNoFit(JobState job) {
        Bucket bucket = job.bucket;
        if (bucket != null && !bucket.shape.isKnownToFit(pass) && !preemptor.hasEarmarks()) {
            blockOrNoteFit(bucket.shape);
        }
    }

    private void blockOrNoteFit(Shape shape) {
        if (workers.bestFit(shape.demand, w -> true) == null) {
            queues.shapes.block(shape);
        } else {
            shape.noteFits(pass);
        }
    }

    private void reserveForStarved() {
        reserveForOldestIfStarved(queues.of(JobClass.SERVICE));
        reserveForOldestIfStarved(queues.of(JobClass.BATCH));
    }

    private void reserveForOldestIfStarved(ClassQueue queue) {
        if (queue.isEmpty()) {
            return;
        }
        Bucket first = queue.bucketsByArrival().iterator().next();
        JobState oldest = first.head();
        boolean starved = context.nowMs - oldest.acceptedAtMs >= STARVED_AFTER_MS;
        if (starved && first.shape.blocked) {
            reservations.reserve(oldest, 1);
        }
    }
}
