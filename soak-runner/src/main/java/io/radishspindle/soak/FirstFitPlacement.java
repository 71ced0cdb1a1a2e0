package io.radishspindle.soak;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The simplest placement that obeys the contract of {@link GroupPlacement}: first come, first fit. Not thread-safe.
 * It retries failed tasks without bound, so that every accepted job must finish.
 */
final class FirstFitPlacement implements GroupPlacement {
    private static final class Job {
        final JobSpec spec;
        final BitSet completed = new BitSet();
        boolean cancelled;

        Job(JobSpec spec) {
            this.spec = spec;
        }

        boolean active() {
            return !cancelled && completed.cardinality() < spec.tasks();
        }
    }

    private record Placed(TaskAttempt attempt, String workerId, Resources reserved) {}

    private static final class Host {
        final WorkerInfo info;
        boolean usable = true;

        Host(WorkerInfo info) {
            this.info = info;
        }
    }

    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, Host> hosts = new TreeMap<>();
    private final Map<TaskId, Placed> placed = new HashMap<>();
    private final Map<TaskId, Long> openUntilMs = new HashMap<>();
    private List<PlacementAction> actions = new ArrayList<>();
    private boolean mayStart;
    private long epoch;
    private int number;

    @Override
    public List<PlacementAction> handle(long nowMs, PlacementEvent event) {
        if (event instanceof PlacementEvent.JobAccepted accepted) {
            jobs.putIfAbsent(accepted.job().id(), new Job(accepted.job()));
        } else if (event instanceof PlacementEvent.JobRecovered recovered) {
            recover(recovered);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            cancel(cancelled.jobId());
        } else if (event instanceof PlacementEvent.WorkerClaimed claimed) {
            claim(claimed);
        } else if (event instanceof PlacementEvent.WorkerUnreachable gone) {
            setUsable(gone.workerId(), false);
        } else if (event instanceof PlacementEvent.WorkerLeaving gone) {
            setUsable(gone.workerId(), false);
        } else if (event instanceof PlacementEvent.WorkerLost lost) {
            setUsable(lost.workerId(), false);
            placed.values().removeIf(each -> each.workerId().equals(lost.workerId()));
        } else if (event instanceof PlacementEvent.TaskEnded ended) {
            end(ended);
        } else if (event instanceof PlacementEvent.StartRefused refused) {
            removeAttempt(refused.attempt());
        } else if (event instanceof PlacementEvent.AuthorityChanged changed) {
            mayStart = changed.mayStart();
            if (epoch != changed.epoch()) {
                epoch = changed.epoch();
                number = 0;
            }
        } else if (event instanceof PlacementEvent.Tick) {
            place(nowMs);
        }
        List<PlacementAction> result = actions;
        actions = new ArrayList<>();
        return result;
    }

    @Override
    public Either<Failure, JobSpec> check(JobSpec job) {
        return Either.right(job);
    }

    @Override
    public Optional<JobStatus> status(long nowMs, String jobId) {
        return Optional.ofNullable(jobs.get(jobId)).map(FirstFitPlacement::status);
    }

    @Override
    public List<JobStatus> statuses(long nowMs) {
        return jobs.values().stream().map(FirstFitPlacement::status).toList();
    }

    @Override
    public Totals totals() {
        return new Totals(Resources.NONE, Resources.NONE, Resources.NONE, 0, placed.size());
    }

    private static JobStatus status(Job job) {
        JobStatus.Phase phase = job.cancelled
                ? JobStatus.Phase.CANCELLED
                : job.active() ? JobStatus.Phase.RUNNING : JobStatus.Phase.SUCCEEDED;
        int done = job.completed.cardinality();
        JobSpec spec = job.spec;
        return new JobStatus(spec.id(), "", spec.team(), spec.jobClass(), phase, spec.tasks(), 0, 0, 0, done, 0, 0, "");
    }

    private void recover(PlacementEvent.JobRecovered recovered) {
        Job job = new Job(recovered.job());
        recovered.completed().forEach(job.completed::set);
        jobs.put(job.spec.id(), job);
        for (int i = 0; i < job.spec.tasks(); i++) {
            openUntilMs.put(new TaskId(job.spec.id(), i), recovered.openUntilMs());
        }
    }

    private void cancel(String jobId) {
        Job job = jobs.get(jobId);
        if (job != null) {
            job.cancelled = true;
            placed.values().stream()
                    .filter(each -> each.attempt().task().jobId().equals(jobId))
                    .forEach(this::stop);
        }
    }

    private void stop(Placed each) {
        actions.add(new PlacementAction.CommandTask(
                each.attempt(), each.workerId(), WorkerClient.Command.STOP, "cancelled"));
    }

    private void claim(PlacementEvent.WorkerClaimed claimed) {
        String id = claimed.worker().id();
        hosts.put(id, new Host(claimed.worker()));
        placed.values().removeIf(each -> each.workerId().equals(id));
        for (PlacementEvent.RunningTask running : claimed.running()) {
            TaskId task = running.attempt().task();
            Placed found = new Placed(running.attempt(), id, running.reserved());
            placed.put(task, found);
            Job job = jobs.get(task.jobId());
            if (job == null || !job.active() || job.completed.get(task.index())) {
                stop(found);
            }
        }
    }

    private void setUsable(String workerId, boolean usable) {
        Host host = hosts.get(workerId);
        if (host != null) {
            host.usable = usable;
        }
    }

    private void end(PlacementEvent.TaskEnded ended) {
        TaskId task = ended.attempt().task();
        removeAttempt(ended.attempt());
        Job job = jobs.get(task.jobId());
        boolean open = !placed.containsKey(task);
        if (job == null || !open || job.completed.get(task.index())) {
            return;
        }
        boolean completed = ended.outcome() == TaskOutcome.SUCCEEDED;
        if (completed) {
            job.completed.set(task.index());
        }
        openUntilMs.remove(task);
        actions.add(new PlacementAction.RecordAttempt(ended.attempt(), ended.workerId(), ended.outcome(), completed));
        if (completed && !job.active()) {
            actions.add(
                    new PlacementAction.RecordJobEnd(job.spec.id(), JobStatus.Phase.SUCCEEDED, "all tasks succeeded"));
        }
    }

    private void removeAttempt(TaskAttempt attempt) {
        Placed current = placed.get(attempt.task());
        if (current != null && current.attempt().equals(attempt)) {
            placed.remove(attempt.task());
        }
    }

    private void place(long nowMs) {
        if (!mayStart) {
            return;
        }
        Iterator<Job> each = jobs.values().iterator();
        while (each.hasNext()) {
            Job job = each.next();
            if (!job.active()) {
                continue;
            }
            for (int i = job.completed.nextClearBit(0); i < job.spec.tasks(); i = job.completed.nextClearBit(i + 1)) {
                TaskId task = new TaskId(job.spec.id(), i);
                if (!placed.containsKey(task) && openUntilMs.getOrDefault(task, Long.MIN_VALUE) <= nowMs) {
                    placeTask(task, job.spec.perTask());
                }
            }
        }
    }

    private void placeTask(TaskId task, Resources wanted) {
        for (Host host : hosts.values()) {
            if (host.usable && wanted.fitsIn(free(host))) {
                number++;
                TaskAttempt attempt = new TaskAttempt(task, epoch, number);
                placed.put(task, new Placed(attempt, host.info.id(), wanted));
                actions.add(new PlacementAction.StartTask(attempt, host.info.id(), wanted));
                return;
            }
        }
    }

    private Resources free(Host host) {
        Resources free = host.info.capacity();
        for (Placed each : placed.values()) {
            if (each.workerId().equals(host.info.id())) {
                free = free.minus(each.reserved());
            }
        }
        return free;
    }
}
