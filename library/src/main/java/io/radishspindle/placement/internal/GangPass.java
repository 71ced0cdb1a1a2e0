package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Starts all-at-once jobs: all tasks of a job that have not succeeded, or none. Not thread-safe. */
final class GangPass {
    /** Jobs examined in one pass; bounds its work. */
    private static final int MAX_JOBS_PER_PASS = 16;

    private final Context context;
    private final Queues queues;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Reservations reservations;

    GangPass(Components components, Reservations reservations) {
        this.context = components.context;
        this.queues = components.queues;
        this.workers = components.workers;
        this.ledger = components.ledger;
        this.reservations = reservations;
    }

    void run() {
        ClassQueue queue = queues.of(JobClass.ALL_AT_ONCE);
        if (queue.isEmpty()) {
            return;
        }
        int tried = 0;
        for (JobState job : jobsByTeamShare(queue)) {
            if (!isComplete(job)) {
                continue;
            }
            if (tried++ >= MAX_JOBS_PER_PASS) {
                return;
            }
            tryStart(job);
        }
    }

    private List<JobState> jobsByTeamShare(ClassQueue queue) {
        List<Team> teams = new ArrayList<>(queue.teams());
        teams.sort(Comparator.comparingDouble((Team t) -> t.share(context.policy)));
        List<JobState> order = new ArrayList<>();
        for (Team team : teams) {
            for (Bucket bucket : queue.bucketsOf(team)) {
                for (JobState job : bucket.jobs.values()) {
                    if (order.size() < 2 * MAX_JOBS_PER_PASS) {
                        order.add(job);
                    }
                }
            }
        }
        return order;
    }

    /** Whether all tasks that have to start are in the queue. */
    private static boolean isComplete(JobState job) {
        int ready = job.count(TaskPhase.READY);
        return ready > 0 && ready + job.count(TaskPhase.SUCCEEDED) == job.spec.tasks();
    }

    private void tryStart(JobState job) {
        if (job.noFitAtVersion == ledger.freedVersion()) {
            reservations.reserve(job, job.count(TaskPhase.READY));
            return;
        }
        Map<WorkerState, Integer> plan = plan(job);
        if (plan == null) {
            job.noFitAtVersion = ledger.freedVersion();
            reservations.reserve(job, job.count(TaskPhase.READY));
            return;
        }
        plan.forEach((worker, count) -> startOn(job, worker, count));
    }

    private void startOn(JobState job, WorkerState worker, int count) {
        for (int i = 0; i < count; i++) {
            reservations.noteStart(job, worker);
            ledger.start(job, job.ready.nextSetBit(0), worker);
        }
    }

    private @Nullable Map<WorkerState, Integer> plan(JobState job) {
        Resources demand = job.demand;
        int remaining = job.count(TaskPhase.READY);
        List<WorkerState> candidates = new ArrayList<>();
        long total = 0;
        for (WorkerState worker : workers.all()) {
            int tasksHere = worker.isUsable() ? WorkerTable.fitCount(demand, worker.freeForOthers(), remaining) : 0;
            if (tasksHere > 0 && reservations.allows(job, worker)) {
                candidates.add(worker);
                total += tasksHere;
            }
        }
        if (total < remaining) {
            return null;
        }
        Comparator<WorkerState> order =
                Comparator.comparing((WorkerState w) -> demand.accelerators() == 0 && w.hasAccelerators());
        candidates.sort(order.thenComparingInt(w -> -WorkerTable.fitCount(demand, w.freeForOthers(), Integer.MAX_VALUE))
                .thenComparing(w -> w.id));
        Map<WorkerState, Integer> plan = new LinkedHashMap<>();
        for (WorkerState worker : candidates) {
            int tasksHere = WorkerTable.fitCount(demand, worker.freeForOthers(), remaining);
            plan.put(worker, tasksHere);
            remaining -= tasksHere;
            if (remaining == 0) {
                break;
            }
        }
        return plan;
    }
}
