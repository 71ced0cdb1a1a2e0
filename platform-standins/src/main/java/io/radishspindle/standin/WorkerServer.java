package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A worker with its control interface. Belongs to one event loop.
 *
 * <p>{@code POST /admin/faults} takes the faults of {@link FaultGate} and {@code failAll} and {@code leaving}.
 */
final class WorkerServer extends StandInServer implements WorkerCore.Recorder {
    private static final long TICK_MS = 20;
    private static final long STOP_LIMIT_MS = 2_000;

    private final WorkerCore.Options options;
    private final boolean failAll;
    private final History<WorkerEvent> history;
    private final Clock clock = new SystemClock();
    private final WorkerCore core;
    private final CountDownLatch stopped = new CountDownLatch(1);

    WorkerServer(Address address, WorkerCore.Options options, boolean failAll, History<WorkerEvent> history) {
        super(address);
        this.options = options;
        this.failAll = failAll;
        this.history = history;
        this.core = new WorkerCore(options, this, clock.nowMs());
    }

    @Override
    void addRoutes(Router router) {
        FaultGate gate = new FaultGate(vertx, 0);
        core.setFailAll(failAll);
        record(WorkerEvent.Kind.BOOT, WorkerEvent.NO_ATTEMPT, options.capacity(), "");
        router.post("/v1/control").handler(c -> gate.run(c, () -> Future.succeededFuture(control(c))));
        router.get("/admin/history")
                .handler(c -> Answer.json(200, history.events()).send(c));
        router.post("/admin/faults")
                .handler(c -> withJson(c, json -> {
                    gate.set(FaultGate.Faults.fromJson(json));
                    setFaults(json);
                }));
        vertx.setPeriodic(TICK_MS, id -> core.advance(clock.nowMs()));
    }

    @Override
    void beginLeaving() {
        context.runOnContext(v -> {
            core.endAll(TaskOutcome.STOPPED, "worker process ends");
            stopped.countDown();
        });
    }

    @Override
    void awaitDrained() {
        try {
            stopped.await(STOP_LIMIT_MS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void started(TaskAttempt attempt, Resources resources) {
        record(WorkerEvent.Kind.START, attempt, resources, "");
    }

    @Override
    public void ended(TaskAttempt attempt, Resources resources, TaskOutcome outcome) {
        record(WorkerEvent.Kind.END, attempt, resources, outcome.name());
    }

    @Override
    public void paused(long durationMs) {
        long nowMs = clock.wallMs();
        history.add(new WorkerEvent(
                WorkerEvent.Kind.PAUSE, id(), WorkerEvent.NO_ATTEMPT, Resources.NONE, "", nowMs - durationMs, nowMs));
    }

    private Answer control(RoutingContext context) {
        return Wire.fromJson(bodyOf(context), ControlRequest.class, "worker.control", id())
                .fold(
                        failure -> Answer.notRun(400, failure.message()),
                        request -> Answer.json(200, core.control(clock.nowMs(), request)));
    }

    private void setFaults(JsonObject json) {
        core.setFailAll(json.getBoolean("failAll", false));
        core.setLeaving(json.getBoolean("leaving", false));
    }

    private void record(WorkerEvent.Kind kind, TaskAttempt attempt, Resources resources, String outcome) {
        long nowMs = clock.wallMs();
        history.add(new WorkerEvent(kind, id(), attempt, resources, outcome, nowMs, nowMs));
    }
}
