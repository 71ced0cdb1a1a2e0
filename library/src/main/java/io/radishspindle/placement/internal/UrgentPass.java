package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import java.util.ArrayList;

/** Starts urgent tasks in order of arrival and makes room for those that find none. Not thread-safe. */
final class UrgentPass {
    /** Bounds the work of one pass; the next pass continues. */
    private static final int MAX_ROOM_PER_PASS = 64;

    private final Context context;
    private final Queues queues;
    private final WorkerTable workers;
    private final Ledger ledger;
    private final RoomMaker rooms;

    UrgentPass(Parts parts, RoomMaker rooms) {
        this.context = parts.context;
        this.queues = parts.queues;
        this.workers = parts.workers;
        this.ledger = parts.ledger;
        this.rooms = rooms;
    }

    void run() {
        ClassQueue queue = queues.of(JobClass.URGENT);
        if (queue.isEmpty()) {
            return;
        }
        int budget = MAX_ROOM_PER_PASS;
        for (Bucket bucket : new ArrayList<>(queue.bucketsByArrival())) {
            startAll(bucket);
            if (budget > 0 && context.policy.preemptForUrgent()) {
                budget -= makeRoom(bucket, budget);
            }
        }
    }

    private void startAll(Bucket bucket) {
        while (!bucket.jobs.isEmpty() && !bucket.shape.blocked) {
            JobState job = bucket.head();
            WorkerState worker = workers.bestFit(bucket.demand, w -> true);
            if (worker == null) {
                if (!rooms.hasEarmarks()) {
                    queues.shapes.block(bucket.shape);
                }
                return;
            }
            ledger.start(job, job.ready.nextSetBit(0), worker);
        }
    }

    private int makeRoom(Bucket bucket, int atMost) {
        int wanted = 0;
        for (JobState job : bucket.jobs.values()) {
            wanted = Math.min(atMost, wanted + job.count(TaskPhase.READY));
            if (wanted == atMost) {
                break;
            }
        }
        for (int i = 0; i < wanted; i++) {
            if (rooms.makeRoom(bucket.demand, UrgentPass::isBatch, StopReason.URGENT) == null) {
                rooms.hold(bucket.demand);
                return i + 1;
            }
        }
        return wanted;
    }

    private static boolean isBatch(Attempt attempt) {
        return attempt.job != null && attempt.job.spec.jobClass() == JobClass.BATCH;
    }
}
