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
 * Dispatches events to the components of the core and starts tasks on ticks. Not thread-safe.
 *
 * <p>Invariant: tasks are started only while a tick is handled, so that all events of a batch are known first.
 */
public final class PlacementEngine implements GroupPlacement {
    private final Components components;
    private final Context context;
    private final TaskEventHandler taskEventHandler;
    private final WorkerEventHandler workerEventHandler;
    private final Admission admission;

    public PlacementEngine(PlacementPolicy policy) {
        this.components = new Components(policy);
        this.context = components.context;
        this.taskEventHandler = new TaskEventHandler(components);
        this.workerEventHandler = new WorkerEventHandler(components);
        this.admission = new Admission(components);
    }

    @Override
    public List<PlacementAction> handle(long nowMs, PlacementEvent event) {
        if (nowMs < context.nowMs) {
            throw new IllegalStateException("time decreased from " + context.nowMs + " to " + nowMs);
        }
        context.nowMs = nowMs;
        dispatch(event);
        return context.takeActions();
    }

    private void dispatch(PlacementEvent event) {
        if (event instanceof PlacementEvent.Tick) {
            onTick();
        } else if (event instanceof PlacementEvent.JobAccepted accepted) {
            components.lifecycle.accept(accepted.job());
        } else if (event instanceof PlacementEvent.JobRecovered recovered) {
            components.lifecycle.recover(recovered);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            components.lifecycle.cancel(cancelled.jobId());
        } else if (event instanceof PlacementEvent.TaskEnded ended) {
            taskEventHandler.onTaskEnded(ended);
        } else if (event instanceof PlacementEvent.StartRefused refused) {
            taskEventHandler.onStartRefused(refused);
        } else if (event instanceof PlacementEvent.UsageReported usage) {
            taskEventHandler.onUsageReported(usage);
        } else {
            dispatchGroupEvent(event);
        }
    }

    private void dispatchGroupEvent(PlacementEvent event) {
        if (event instanceof PlacementEvent.WorkerClaimed claimed) {
            workerEventHandler.onWorkerClaimed(claimed);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            workerEventHandler.onWorkerUnreachable(unreachable.workerId());
        } else if (event instanceof PlacementEvent.WorkerLost lost) {
            workerEventHandler.onWorkerLost(lost.workerId());
        } else if (event instanceof PlacementEvent.WorkerLeaving leaving) {
            workerEventHandler.onWorkerLeaving(leaving.workerId());
        } else if (event instanceof PlacementEvent.PolicyChanged changed) {
            context.policy = changed.policy();
            components.queues.changed = true;
        } else if (event instanceof PlacementEvent.AuthorityChanged changed) {
            onAuthorityChanged(changed);
        }
    }

    private void onAuthorityChanged(PlacementEvent.AuthorityChanged changed) {
        if (changed.epoch() < context.epoch) {
            return;
        }
        context.epoch = changed.epoch();
        context.mayStart = changed.mayStart();
        components.queues.changed = true;
    }

    private void onTick() {
        components.timers.runDue(context.nowMs);
        components.placer.run();
    }

    @Override
    public Either<Failure, JobSpec> check(JobSpec job) {
        return admission.check(job);
    }

    @Override
    public Optional<JobStatus> status(long nowMs, String jobId) {
        JobState job = components.jobs.get(jobId);
        if (job != null) {
            return Optional.of(components.explainer.status(job, nowMs));
        }
        return Optional.ofNullable(components.jobs.endedStatus(jobId));
    }

    @Override
    public List<JobStatus> statuses(long nowMs) {
        List<JobStatus> all = new ArrayList<>(components.jobs.ended());
        components.jobs.active().forEach(job -> all.add(components.explainer.status(job, nowMs)));
        return all;
    }

    @Override
    public Totals totals() {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        Resources largest = Resources.NONE;
        for (WorkerState worker : components.workers.all()) {
            if (worker.isUsable()) {
                capacity = capacity.plus(worker.info.capacity());
                free = free.plus(worker.free);
                largest = Family.max(largest, worker.info.capacity());
            }
        }
        return new Totals(capacity, free, largest, components.queues.waitingTasks(), components.ledger.running());
    }
}
