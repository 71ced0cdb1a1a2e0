package io.radishspindle.soak;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
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
import java.util.Set;
import java.util.function.Consumer;

/**
 * A worker by the rules of docs/design.md, section 3, without admission control: the owner's accounting alone must
 * keep it from being overfull. Not thread-safe. A worker that restarted refuses everything for {@link #QUIET_MS},
 * and terms of epochs that it does not know.
 */
final class FakeWorker extends Node {
    static final long QUIET_MS = 5_000;

    private record Task(TaskAttempt attempt, Resources reserved, long endsAtMs, boolean fails, long startedMs) {}

    final WorkerInfo info;
    private final Set<Mechanism> off;
    private final Consumer<HistoryEvent> history;
    private final Map<TaskAttempt, Task> running = new LinkedHashMap<>();
    private final Map<TaskAttempt, Finished> finished = new LinkedHashMap<>();
    private final long clockOffsetMs;
    private final double clockRate;
    private boolean failAll;
    private boolean leased;
    private long epoch;
    private long term;
    private String holder = "";
    private long sequence;
    private long controlLeaseEndsMs;
    private long runLeaseEndsMs;
    private long upSinceMs = -QUIET_MS;
    private long pausedSinceMs;

    FakeWorker(WorkerInfo info, Simulation sim, Set<Mechanism> off, Consumer<HistoryEvent> history) {
        super(info.id(), sim);
        this.info = info;
        this.off = off;
        this.history = history;
        this.clockOffsetMs = sim.between(1, 1_000_000_000);
        this.clockRate = 0.995 + sim.random.nextDouble() * 0.01;
        history.accept(new HistoryEvent.WorkerUp(sim.now(), id, info.capacity()));
    }

    void setFailAll(boolean on) {
        failAll = on;
        sim.note(id + " fail-all " + on);
    }

    @Override
    void kill() {
        if (isPaused()) {
            history.accept(new HistoryEvent.WorkerPaused(sim.now(), id, pausedSinceMs));
        }
        super.kill();
        history.accept(new HistoryEvent.WorkerDied(sim.now(), id));
        running.clear();
        finished.clear();
        epoch = 0;
        term = 0;
        holder = "";
        controlLeaseEndsMs = 0;
        runLeaseEndsMs = 0;
    }

    @Override
    void restart() {
        super.restart();
        upSinceMs = sim.now();
    }

    @Override
    void pause() {
        super.pause();
        pausedSinceMs = sim.now();
    }

    @Override
    void resume() {
        if (isPaused()) {
            long since = pausedSinceMs;
            history.accept(new HistoryEvent.WorkerPaused(sim.now(), id, since));
        }
        super.resume();
    }

    /** Ends tasks that are over or whose lease has lapsed; called often. */
    void advance() {
        if (!isAlive() || isPaused()) {
            return;
        }
        boolean lapsed = clock() >= runLeaseEndsMs;
        if (lapsed && leased) {
            history.accept(new HistoryEvent.LeaseLapsed(sim.now(), id));
            sim.note(id + " run lease lapsed");
        }
        leased = !lapsed;
        if (lapsed) {
            List.copyOf(running.values()).forEach(task -> end(task, TaskOutcome.LEASE_EXPIRED));
        }
        for (Task task : List.copyOf(running.values())) {
            if (sim.now() >= task.endsAtMs()) {
                end(task, task.fails() ? TaskOutcome.FAILED : TaskOutcome.SUCCEEDED);
            }
        }
    }

    ControlReply control(ControlRequest request) {
        advance();
        if (request.mode() == Mode.CLAIM) {
            sim.note(id + " has " + epoch + "." + term + " and gets a claim " + request.epoch() + "." + request.term()
                    + " of " + request.holder());
        }
        if (sim.now() - upSinceMs < QUIET_MS || !admits(request)) {
            return reply(false, List.of(), List.of(), List.of());
        }
        epoch = request.epoch();
        term = request.term();
        holder = request.holder();
        sequence = request.sequence();
        extendLeases(request);
        List<Refused> refused = new ArrayList<>();
        if (request.mode() == Mode.CONTROL) {
            request.acknowledged().forEach(this::forget);
            request.orders().forEach(this::obey);
            request.starts().forEach(start -> start(start, refused));
        }
        List<Running> report = request.mode() == Mode.CLAIM
                ? running.values().stream().map(this::report).toList()
                : List.of();
        return reply(true, report, List.copyOf(finished.values()), refused);
    }

    private boolean admits(ControlRequest request) {
        if (off.contains(Mechanism.EPOCH)) {
            return true;
        }
        boolean fromHolder = request.epoch() == epoch
                && request.term() == term
                && request.holder().equals(holder);
        if (fromHolder) {
            return request.sequence() > sequence;
        }
        if (request.mode() != Mode.CLAIM) {
            return false;
        }
        if (request.term() == 0) {
            return request.epoch() > epoch;
        }
        return request.epoch() == epoch && request.term() > term && clock() >= controlLeaseEndsMs;
    }

    private void extendLeases(ControlRequest request) {
        if (request.mode() == Mode.CLAIM || request.echoedWorkerTimeMs() > clock()) {
            return;
        }
        long from = off.contains(Mechanism.ECHOED_TIME) ? clock() : request.echoedWorkerTimeMs();
        runLeaseEndsMs = Math.max(runLeaseEndsMs, from + request.runLeaseMs());
        if (request.mode() == Mode.CONTROL) {
            controlLeaseEndsMs = Math.max(controlLeaseEndsMs, from + request.controlLeaseMs());
        }
    }

    private void forget(TaskAttempt attempt) {
        if (finished.remove(attempt) != null) {
            history.accept(new HistoryEvent.Acknowledged(sim.now(), id, attempt));
            sim.note(id + " forgets " + attempt);
        }
    }

    private void obey(Order order) {
        Task task = running.get(order.attempt());
        if (task != null) {
            switch (order.command()) {
                case STOP, CHECKPOINT_AND_STOP -> end(task, TaskOutcome.STOPPED);
                case THROTTLE, UNTHROTTLE -> sim.note(id + " " + order);
            }
        }
    }

    private void start(Start start, List<Refused> refused) {
        TaskAttempt attempt = start.attempt();
        if (running.containsKey(attempt) || finished.containsKey(attempt)) {
            return;
        }
        boolean leased = clock() < controlLeaseEndsMs || off.contains(Mechanism.CONTROL_LEASE);
        if (!leased) {
            refused.add(new Refused(attempt, "no control lease"));
            return;
        }
        if (off.contains(Mechanism.CONTROL_LEASE)) {
            runLeaseEndsMs = Math.max(runLeaseEndsMs, clock() + 6_000);
        }
        long runMs = Long.parseLong(start.parameters().getOrDefault("run-ms", "1000"));
        running.put(attempt, new Task(attempt, start.resources(), sim.now() + runMs, failAll, sim.now()));
        sim.note(id + " starts " + attempt);
        history.accept(new HistoryEvent.Started(sim.now(), id, attempt, start.resources()));
    }

    private void end(Task task, TaskOutcome outcome) {
        running.remove(task.attempt());
        finished.put(task.attempt(), new Finished(task.attempt(), outcome, ""));
        sim.note(id + " ends " + task.attempt() + " " + outcome);
        history.accept(new HistoryEvent.Ended(sim.now(), id, task.attempt(), outcome));
    }

    private Running report(Task task) {
        return new Running(task.attempt(), task.reserved(), task.reserved(), sim.now() - task.startedMs());
    }

    private ControlReply reply(boolean accepted, List<Running> report, List<Finished> ended, List<Refused> refused) {
        return new ControlReply(accepted, clock(), epoch, term, holder, report, ended, refused, false);
    }

    private long clock() {
        return clockOffsetMs + (long) (sim.now() * clockRate);
    }
}
