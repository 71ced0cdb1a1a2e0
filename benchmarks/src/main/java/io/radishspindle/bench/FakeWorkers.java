package io.radishspindle.bench;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import io.radishspindle.platform.WorkerClient.Command;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The workers of a group: they run tasks for their true time, report usage a second after the start and kill a task
 * that does not fit into memory. Tasks started on overloaded processors run longer. Not thread-safe.
 */
final class FakeWorkers {
    private static final long USAGE_LAG_MS = 1_000;
    private static final long FAULT_AFTER_MS = 200;
    private static final long CHECKPOINT_MS = 250;
    private static final long STOP_MS = 20;

    /** A running attempt. */
    private static final class Run {
        final TaskAttempt attempt;
        final Worker worker;
        final GeneratedJob job;
        final long startedAtMs;
        final double slowdown;
        boolean stopping;

        Run(TaskAttempt attempt, Worker worker, GeneratedJob job, long startedAtMs, double slowdown) {
            this.attempt = attempt;
            this.worker = worker;
            this.job = job;
            this.startedAtMs = startedAtMs;
            this.slowdown = slowdown;
        }
    }

    /** A worker with the true usage on it. */
    static final class Worker {
        final WorkerInfo info;
        Resources used = Resources.NONE;
        Resources needed = Resources.NONE;
        boolean bad;
        boolean down;

        Worker(WorkerInfo info) {
            this.info = info;
        }

        boolean isOverfilled() {
            return !used.fitsIn(info.capacity());
        }
    }

    /** Where time and events come from and go to. */
    interface Loop {
        long nowMs();

        void at(long atMs, Runnable action);

        void send(PlacementEvent event);
    }

    final Map<String, Worker> workers = new LinkedHashMap<>();
    private final Map<TaskAttempt, Run> runs = new LinkedHashMap<>();
    private final Map<TaskId, Long> remainingMs = new HashMap<>();
    private final Loop loop;
    private final ReplayStats stats;

    FakeWorkers(List<WorkerInfo> infos, Loop loop, ReplayStats stats) {
        infos.forEach(info -> workers.put(info.id(), new Worker(info)));
        this.loop = loop;
        this.stats = stats;
    }

    Worker worker(String id) {
        Worker worker = workers.get(id);
        if (worker == null) {
            throw new IllegalArgumentException("unknown worker " + id);
        }
        return worker;
    }

    void start(PlacementAction.StartTask start, GeneratedJob job) {
        Worker worker = worker(start.workerId());
        worker.used = worker.used.plus(job.used());
        worker.needed = worker.needed.plus(job.needed());
        double load = (double) worker.used.milliCores() / worker.info.capacity().milliCores();
        Run run = new Run(start.attempt(), worker, job, loop.nowMs(), Math.max(1, load));
        runs.put(run.attempt, run);
        if (worker.bad || job.faulty()) {
            loop.at(loop.nowMs() + FAULT_AFTER_MS, () -> end(run, TaskOutcome.FAILED, "fault"));
            return;
        }
        loop.at(loop.nowMs() + USAGE_LAG_MS, () -> reportUsage(run));
        long workMs = workMs(run);
        if (workMs < Long.MAX_VALUE) {
            loop.at(loop.nowMs() + (long) (workMs * run.slowdown), () -> end(run, TaskOutcome.SUCCEEDED, ""));
        }
    }

    private long workMs(Run run) {
        TaskId task = run.attempt.task();
        return remainingMs.getOrDefault(task, run.job.runMs().get(task.index()));
    }

    private void reportUsage(Run run) {
        if (runs.get(run.attempt) != run) {
            return;
        }
        if (run.worker.used.memoryMib() > run.worker.info.capacity().memoryMib()) {
            stats.outOfMemory++;
            end(run, TaskOutcome.FAILED, "out of memory");
            return;
        }
        loop.send(new PlacementEvent.UsageReported(run.attempt, run.job.used()));
    }

    void command(PlacementAction.CommandTask command) {
        Run run = runs.get(command.attempt());
        if (run == null || command.command() == Command.THROTTLE || command.command() == Command.UNTHROTTLE) {
            return;
        }
        boolean checkpoint = command.command() == Command.CHECKPOINT_AND_STOP;
        if (!run.stopping) {
            stats.stoppedForOthers += checkpoint ? 1 : 0;
            stats.reclaimed += command.reason().contains("quota") ? 1 : 0;
        }
        run.stopping = true;
        loop.at(loop.nowMs() + (checkpoint ? CHECKPOINT_MS : STOP_MS), () -> stop(run, checkpoint));
    }

    private void stop(Run run, boolean checkpoint) {
        if (checkpoint && runs.get(run.attempt) == run) {
            long done = (long) ((loop.nowMs() - run.startedAtMs) / run.slowdown);
            remainingMs.put(run.attempt.task(), Math.max(1, workMs(run) - done));
        }
        end(run, TaskOutcome.STOPPED, "stopped");
    }

    private void end(Run run, TaskOutcome outcome, String detail) {
        if (runs.get(run.attempt) != run || run.worker.down) {
            return;
        }
        remove(run);
        loop.send(new PlacementEvent.TaskEnded(run.attempt, run.worker.info.id(), outcome, detail));
    }

    private void remove(Run run) {
        runs.remove(run.attempt);
        run.worker.used = run.worker.used.minus(run.job.used());
        run.worker.needed = run.worker.needed.minus(run.job.needed());
    }

    /** A worker crashes; nothing of it is reported. */
    void crash(Worker worker) {
        worker.down = true;
        List.copyOf(runs.values()).stream().filter(r -> r.worker == worker).forEach(this::remove);
    }

    /** What is busy, with each worker at its capacity at most. */
    Resources busy() {
        Resources busy = Resources.NONE;
        for (Worker worker : workers.values()) {
            Resources capacity = worker.info.capacity();
            busy = busy.plus(new Resources(
                    Math.min(capacity.milliCores(), worker.needed.milliCores()),
                    Math.min(capacity.memoryMib(), worker.needed.memoryMib()),
                    Math.min(capacity.accelerators(), worker.needed.accelerators())));
        }
        return busy;
    }

    @Nullable
    Worker pick(int index) {
        return workers.values().stream()
                .skip(index % workers.size())
                .findFirst()
                .orElse(null);
    }
}
