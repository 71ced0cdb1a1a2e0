package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import java.util.ArrayList;

/** Starts urgent tasks in order of arrival and preempts batch tasks for those that do not fit. Not thread-safe. */
final class UrgentPass {
    /** Bounds the work of one pass; the next pass continues. */
    private static final int MAX_TASKS_PER_PASS = 64;

    private final Context context;
    private final Queues queues;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final Preemptor preemptor;

    UrgentPass(Components components, Preemptor preemptor) {
        this.context = components.context;
        this.queues = components.queues;
        this.workers = components.workers;
        this.ledger = components.ledger;
        this.preemptor = preemptor;
    }

    void run() {
        ClassQueue queue = queues.of(JobClass.URGENT);
        if (queue.isEmpty()) {
            return;
        }
        int budget = MAX_TASKS_PER_PASS;
        for (Bucket bucket : new ArrayList<>(queue.bucketsByArrival())) {
            startAll(bucket);
            if (budget > 0 && context.policy.preemptForUrgent()) {
                budget -= preemptForWaiting(bucket, budget);
            }
        }
    }

    private void startAll(Bucket bucket) {
        while (!bucket.jobs.isEmpty() && !bucket.shape.blocked) {
            JobState job = bucket.head();
            WorkerState worker = workers.bestFit(bucket.demand, w -> true);
            if (worker == null) {
                if (!preemptor.hasEarmarks()) {
                    queues.shapes.block(bucket.shape);
                }
                return;
            }
            ledger.start(job, job.ready.nextSetBit(0), worker);
        }
    }

    private int preemptForWaiting(Bucket bucket, int atMost) {
        int wanted = 0;
        for (JobState job : bucket.jobs.values()) {
            wanted = Math.min(atMost, wanted + job.count(TaskPhase.READY));
            if (wanted == atMost) {
                break;
            }
        }
        for (int i = 0; i < wanted; i++) {
            if (preemptor.preemptFor(bucket.demand, UrgentPass::isBatch, StopReason.URGENT) == null) {
                preemptor.earmarkLargest(bucket.demand);
                return i + 1;
            }
        }
        return wanted;
    }

    private static boolean isBatch(Attempt attempt) {
        return attempt.job != null && attempt.job.spec.jobClass() == JobClass.BATCH;
    }
}
