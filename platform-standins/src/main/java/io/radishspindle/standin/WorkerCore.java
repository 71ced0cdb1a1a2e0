package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.platform.WorkerClient.ControlReply;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Finished;
import io.radishspindle.platform.WorkerClient.Mode;
import io.radishspindle.platform.WorkerClient.Order;
import io.radishspindle.platform.WorkerClient.Refused;
import io.radishspindle.platform.WorkerClient.Running;
import io.radishspindle.platform.WorkerClient.Start;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A worker without sockets and timers; see docs/design.md, sections 3 and 11. Not thread-safe.
 *
 * <p>Invariants: the reserved resources of its tasks never exceed its capacity. No two attempts of a task run at the
 * same time. When the run lease has lapsed, all tasks are stopped before anything else happens. Times are
 * milliseconds of one monotonic clock.
 */
final class WorkerCore {
    /** A longer time between two calls means that the process was paused; its tasks made no progress then. */
    static final long PAUSE_MS = 250;

    /**
     * How the worker behaves.
     *
     * @param usageLagMs time between samples of usage
     * @param checkpointMs how long a checkpoint takes
     * @param quietMs how long messages are refused after the start; longer than a control lease
     */
    record Options(Resources capacity, long usageLagMs, long checkpointMs, long quietMs) {}

    /** Takes the worker's own record. */
    interface Recorder {
        void started(TaskAttempt attempt, Resources resources);

        void ended(TaskAttempt attempt, Resources resources, TaskOutcome outcome);

        /** The process did not run for the last {@code durationMs} milliseconds. */
        void paused(long durationMs);
    }

    private final Options options;
    private final Recorder recorder;
    private final WorkerFence fence;
    private final Map<TaskId, WorkerTask> running = new LinkedHashMap<>();
    private final Map<TaskAttempt, Finished> finished = new LinkedHashMap<>();
    private boolean failAll;
    private boolean leaving;
    private long lastAdvanceMs;

    WorkerCore(Options options, Recorder recorder, long nowMs) {
        this.options = options;
        this.recorder = recorder;
        this.lastAdvanceMs = nowMs;
        this.fence = new WorkerFence(nowMs + options.quietMs());
    }

    void setFailAll(boolean on) {
        failAll = on;
    }

    void setLeaving(boolean on) {
        leaving = on;
    }

    /** Lets time pass; called often, and before every other step. */
    void advance(long nowMs) {
        long elapsedMs = nowMs - lastAdvanceMs;
        lastAdvanceMs = nowMs;
        if (elapsedMs > PAUSE_MS) {
            recorder.paused(elapsedMs);
            elapsedMs = 0;
        }
        if (!fence.isRunLeaseValid(nowMs)) {
            endAll(TaskOutcome.LEASE_EXPIRED, "run lease lapsed");
        }
        for (WorkerTask task : List.copyOf(running.values())) {
            Optional<TaskOutcome> outcome = task.advance(elapsedMs, options.usageLagMs(), failAll);
            outcome.ifPresent(o -> end(task, o, o == TaskOutcome.FAILED ? "task failed" : ""));
        }
    }

    /** Handles a control message. */
    ControlReply control(long nowMs, ControlRequest request) {
        advance(nowMs);
        if (!fence.admit(nowMs, request)) {
            return reply(nowMs, false, List.of(), List.of(), List.of());
        }
        List<Refused> refused = new ArrayList<>();
        if (request.mode() == Mode.CONTROL) {
            request.acknowledged().forEach(finished::remove);
            request.orders().forEach(order -> obey(nowMs, order));
            request.starts().forEach(start -> start(nowMs, start).ifPresent(refused::add));
        }
        return reply(nowMs, true, report(request.mode()), List.copyOf(finished.values()), refused);
    }

    /** Ends all tasks, for example when the process is asked to end. */
    void endAll(TaskOutcome outcome, String detail) {
        List.copyOf(running.values()).forEach(task -> end(task, outcome, detail));
    }

    private void obey(long nowMs, Order order) {
        WorkerTask task = running.get(order.attempt().task());
        if (task == null || !task.attempt().equals(order.attempt()) || !fence.isControlLeaseValid(nowMs)) {
            return;
        }
        switch (order.command()) {
            case STOP -> end(task, TaskOutcome.STOPPED, "stopped by order");
            case CHECKPOINT_AND_STOP -> task.stopAfterCheckpoint(options.checkpointMs());
            case THROTTLE -> task.throttle(true);
            case UNTHROTTLE -> task.throttle(false);
        }
    }

    private Optional<Refused> start(long nowMs, Start start) {
        TaskAttempt attempt = start.attempt();
        WorkerTask present = running.get(attempt.task());
        if (finished.containsKey(attempt)
                || (present != null && present.attempt().equals(attempt))) {
            return Optional.empty();
        }
        String problem = problemWith(nowMs, start, present);
        if (!problem.isEmpty()) {
            return Optional.of(new Refused(attempt, problem));
        }
        try {
            running.put(attempt.task(), new WorkerTask(start, options.usageLagMs()));
        } catch (IllegalArgumentException e) {
            return Optional.of(new Refused(attempt, "invalid parameter: " + e.getMessage()));
        }
        recorder.started(attempt, start.resources());
        return Optional.empty();
    }

    private String problemWith(long nowMs, Start start, @Nullable WorkerTask present) {
        if (!fence.isControlLeaseValid(nowMs) || !fence.isRunLeaseValid(nowMs)) {
            return "no valid lease";
        }
        if (leaving) {
            return "worker is leaving";
        }
        if (present != null) {
            return "another attempt runs here: " + present.attempt();
        }
        Resources wanted = start.resources();
        if (!Resources.NONE.fitsIn(wanted)) {
            return "negative resources: " + wanted;
        }
        Resources free = options.capacity().minus(reserved());
        return wanted.fitsIn(free) ? "" : "does not fit: wanted " + wanted + ", free " + free;
    }

    private Resources reserved() {
        return running.values().stream().map(WorkerTask::reserved).reduce(Resources.NONE, Resources::plus);
    }

    private void end(WorkerTask task, TaskOutcome outcome, String detail) {
        running.remove(task.attempt().task());
        finished.put(task.attempt(), new Finished(task.attempt(), outcome, detail));
        recorder.ended(task.attempt(), task.reserved(), outcome);
    }

    private List<Running> report(Mode mode) {
        List<Running> reports = new ArrayList<>();
        for (WorkerTask task : running.values()) {
            boolean changed = task.takeUsageChanged();
            if (mode == Mode.CLAIM || changed) {
                reports.add(task.report());
            }
        }
        return reports;
    }

    private ControlReply reply(
            long nowMs, boolean accepted, List<Running> reports, List<Finished> ends, List<Refused> refused) {
        return new ControlReply(
                accepted, nowMs, fence.epoch(), fence.term(), fence.holder(), reports, ends, refused, leaving);
    }
}
