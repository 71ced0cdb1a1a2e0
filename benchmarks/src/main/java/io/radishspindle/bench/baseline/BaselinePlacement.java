package io.radishspindle.bench.baseline;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * One queue for all classes, in order of arrival; no priorities, quotas, reservations or learning. Declared sizes are
 * charged. Not thread-safe.
 */
public final class BaselinePlacement implements GroupPlacement {
    /** How the queue is served. */
    public enum Variant {
        /** The first worker with room; a job that does not fit stops all behind it. */
        FIRST_COME_FIRST_SERVED,
        /** The worker with the least room left; what does not fit is passed by, without a reservation. */
        BEST_FIT
    }

    private static final class Worker {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        boolean usable;
        final Map<TaskAttempt, JobSpec> running = new LinkedHashMap<>();
    }

    private record Waiting(JobSpec job, List<Integer> tasks) {}

    private final Variant variant;
    private final Map<String, Worker> workers = new TreeMap<>();
    private final Map<Long, Waiting> queue = new TreeMap<>();
    private final Map<String, JobSpec> jobs = new HashMap<>();
    private final Map<String, Integer> open = new HashMap<>();
    private final Map<TaskId, Integer> attempts = new HashMap<>();
    private final Map<TaskId, Integer> failures = new HashMap<>();
    private List<PlacementAction> actions = new ArrayList<>();
    private long sequence;
    private boolean changed;

    public BaselinePlacement(Variant variant) {
        this.variant = variant;
    }

    @Override
    public List<PlacementAction> handle(long nowMs, PlacementEvent event) {
        actions = new ArrayList<>();
        if (event instanceof PlacementEvent.JobAccepted accepted) {
            accept(accepted.job());
        } else if (event instanceof PlacementEvent.WorkerClaimed claimed) {
            claim(claimed);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            worker(unreachable.workerId()).usable = false;
        } else if (event instanceof PlacementEvent.WorkerLost lost) {
            lose(worker(lost.workerId()));
        } else if (event instanceof PlacementEvent.TaskEnded ended) {
            end(ended);
        } else if (event instanceof PlacementEvent.Tick && changed) {
            changed = false;
            place();
        }
        return actions;
    }

    private Worker worker(String id) {
        return workers.computeIfAbsent(id, unknown -> new Worker());
    }

    private void accept(JobSpec job) {
        jobs.put(job.id(), job);
        open.put(job.id(), job.tasks());
        List<Integer> tasks = new ArrayList<>();
        for (int i = 0; i < job.tasks(); i++) {
            tasks.add(i);
        }
        queue.put(sequence++, new Waiting(job, tasks));
        changed = true;
    }

    private void claim(PlacementEvent.WorkerClaimed claimed) {
        Worker worker = worker(claimed.worker().id());
        worker.capacity = claimed.worker().capacity();
        worker.free = worker.capacity;
        worker.running.clear();
        worker.usable = true;
        changed = true;
    }

    private void lose(Worker worker) {
        List.copyOf(worker.running.entrySet()).forEach(e -> requeue(e.getKey().task(), e.getValue()));
        worker.running.clear();
        worker.free = worker.capacity;
    }

    private void requeue(TaskId task, JobSpec job) {
        actions.add(new PlacementAction.TaskRequeued(task, "again"));
        queue.put(sequence++, new Waiting(job, new ArrayList<>(List.of(task.index()))));
        changed = true;
    }

    private void end(PlacementEvent.TaskEnded ended) {
        Worker worker = worker(ended.workerId());
        JobSpec job = worker.running.remove(ended.attempt());
        if (job == null) {
            return;
        }
        worker.free = worker.free.plus(job.perTask());
        changed = true;
        TaskId task = ended.attempt().task();
        boolean failed = ended.outcome() == TaskOutcome.FAILED;
        if (ended.outcome() != TaskOutcome.SUCCEEDED
                && (!failed
                        || job.jobClass() == JobClass.SERVICE
                        || failures.merge(task, 1, Integer::sum) < job.maxAttempts())) {
            requeue(task, job);
        } else if (open.merge(job.id(), -1, Integer::sum) == 0) {
            actions.add(new PlacementAction.RecordJobEnd(job.id(), JobStatus.Phase.SUCCEEDED, "ended"));
        }
    }

    private void place() {
        Set<Resources> failed = new HashSet<>();
        for (Iterator<Waiting> all = queue.values().iterator(); all.hasNext(); ) {
            Waiting waiting = all.next();
            boolean gang = waiting.job().jobClass() == JobClass.ALL_AT_ONCE;
            boolean skipped = !gang && failed.contains(waiting.job().perTask());
            if (!skipped && (!gang || fitsWhole(waiting))) {
                startWhatFits(waiting);
            }
            if (waiting.tasks().isEmpty()) {
                all.remove();
            } else if (variant == Variant.FIRST_COME_FIRST_SERVED) {
                return;
            } else if (!gang) {
                failed.add(waiting.job().perTask());
            }
        }
    }

    private boolean fitsWhole(Waiting waiting) {
        int missing = waiting.tasks().size();
        for (Worker worker : workers.values()) {
            Resources free = worker.free;
            while (worker.usable && missing > 0 && waiting.job().perTask().fitsIn(free)) {
                free = free.minus(waiting.job().perTask());
                missing--;
            }
        }
        return missing == 0;
    }

    private void startWhatFits(Waiting waiting) {
        for (Iterator<Integer> tasks = waiting.tasks().iterator(); tasks.hasNext(); ) {
            int index = tasks.next();
            String chosen = choose(waiting.job().perTask());
            if (chosen == null) {
                return;
            }
            tasks.remove();
            TaskId task = new TaskId(waiting.job().id(), index);
            TaskAttempt attempt = new TaskAttempt(task, 1, attempts.merge(task, 1, Integer::sum));
            Worker worker = worker(chosen);
            worker.free = worker.free.minus(waiting.job().perTask());
            worker.running.put(attempt, waiting.job());
            actions.add(
                    new PlacementAction.StartTask(attempt, chosen, waiting.job().perTask()));
        }
    }

    private @Nullable String choose(Resources demand) {
        String best = null;
        double least = Double.MAX_VALUE;
        for (Map.Entry<String, Worker> entry : workers.entrySet()) {
            Worker worker = entry.getValue();
            if (!worker.usable || !demand.fitsIn(worker.free)) {
                continue;
            }
            if (variant == Variant.FIRST_COME_FIRST_SERVED) {
                return entry.getKey();
            }
            double left = leftover(worker, demand);
            if (left < least) {
                best = entry.getKey();
                least = left;
            }
        }
        return best;
    }

    private static double leftover(Worker worker, Resources demand) {
        Resources left = worker.free.minus(demand);
        double cores = (double) left.milliCores() / Math.max(1, worker.capacity.milliCores());
        double memory = (double) left.memoryMib() / Math.max(1, worker.capacity.memoryMib());
        double accelerators = (double) left.accelerators() / Math.max(1, worker.capacity.accelerators());
        return cores + memory + accelerators;
    }

    @Override
    public Either<Failure, JobSpec> check(JobSpec job) {
        return Either.right(job);
    }

    @Override
    public Optional<JobStatus> status(long nowMs, String jobId) {
        return Optional.empty();
    }

    @Override
    public List<JobStatus> statuses(long nowMs) {
        return List.of();
    }

    @Override
    public Totals totals() {
        return new Totals(Resources.NONE, Resources.NONE, Resources.NONE, queue.size(), jobs.size());
    }
}
