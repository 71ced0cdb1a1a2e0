package io.radishspindle.placement.internal;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import io.radishspindle.placement.PlacementPolicy;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Dispatches events to the parts of the core and starts tasks on ticks. Not thread-safe.
 *
 * <p>Invariant: tasks are started only while a tick is handled, so that all events of a batch are known first.
 */
public final class PlacementEngine implements GroupPlacement {
    private final Parts parts;
    private final Context context;
    private final TaskEvents taskEvents;
    private final WorkerEvents workerEvents;
    private final Admission admission;

    public PlacementEngine(PlacementPolicy policy) {
        this.parts = new Parts(policy);
        this.context = parts.context;
        this.taskEvents = new TaskEvents(parts);
        this.workerEvents = new WorkerEvents(parts);
        this.admission = new Admission(parts);
    }

    @Override
    public List<PlacementAction> handle(long nowMs, PlacementEvent event) {
        if (nowMs < context.nowMs) {
            throw new IllegalStateException("time went back from " + context.nowMs + " to " + nowMs);
        }
        context.nowMs = nowMs;
        dispatch(event);
        return context.takeActions();
    }

    private void dispatch(PlacementEvent event) {
        if (event instanceof PlacementEvent.Tick) {
            tick();
        } else if (event instanceof PlacementEvent.JobAccepted accepted) {
            parts.lifecycle.accept(accepted.job());
        } else if (event instanceof PlacementEvent.JobRecovered recovered) {
            parts.lifecycle.recover(recovered);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            parts.lifecycle.cancel(cancelled.jobId());
        } else if (event instanceof PlacementEvent.TaskEnded ended) {
            taskEvents.ended(ended);
        } else if (event instanceof PlacementEvent.StartRefused refused) {
            taskEvents.refused(refused);
        } else if (event instanceof PlacementEvent.UsageReported usage) {
            taskEvents.usage(usage);
        } else {
            dispatchGroupEvent(event);
        }
    }

    private void dispatchGroupEvent(PlacementEvent event) {
        if (event instanceof PlacementEvent.WorkerClaimed claimed) {
            workerEvents.claimed(claimed);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            workerEvents.unreachable(unreachable.workerId());
        } else if (event instanceof PlacementEvent.WorkerLost lost) {
            workerEvents.lost(lost.workerId());
        } else if (event instanceof PlacementEvent.WorkerLeaving leaving) {
            workerEvents.leaving(leaving.workerId());
        } else if (event instanceof PlacementEvent.PolicyChanged changed) {
            context.policy = changed.policy();
            parts.queues.changed = true;
        } else if (event instanceof PlacementEvent.AuthorityChanged changed) {
            changeAuthority(changed);
        }
    }

    private void changeAuthority(PlacementEvent.AuthorityChanged changed) {
        if (changed.epoch() < context.epoch) {
            return;
        }
        context.epoch = changed.epoch();
        context.mayStart = changed.mayStart();
        parts.queues.changed = true;
    }

    private void tick() {
        parts.timers.runDue(context.nowMs);
        parts.placer.run();
    }

    @Override
    public Either<Failure, JobSpec> check(JobSpec job) {
        return admission.check(job);
    }

    @Override
    public Optional<JobStatus> status(long nowMs, String jobId) {
        JobState job = parts.jobs.get(jobId);
        if (job != null) {
            return Optional.of(parts.explainer.status(job, nowMs));
        }
        return Optional.ofNullable(parts.jobs.endedStatus(jobId));
    }

    @Override
    public List<JobStatus> statuses(long nowMs) {
        List<JobStatus> all = new ArrayList<>(parts.jobs.ended());
        parts.jobs.active().forEach(job -> all.add(parts.explainer.status(job, nowMs)));
        return all;
    }

    @Override
    public Totals totals() {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        Resources largest = Resources.NONE;
        for (WorkerState worker : parts.workers.all()) {
            if (worker.isUsable()) {
                capacity = capacity.plus(worker.info.capacity());
                free = free.plus(worker.free);
                largest = Family.max(largest, worker.info.capacity());
            }
        }
        return new Totals(capacity, free, largest, parts.queues.waitingTasks(), parts.ledger.running());
    }
}
