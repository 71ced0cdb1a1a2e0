package io.radishspindle.routing;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.ExecutorClient;
import io.radishspindle.platform.ExecutorClient.ServiceRequest;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.ForwardRequest;
import io.radishspindle.protocol.message.ForwardResponse;
import io.radishspindle.routing.RoutingEvent.RequestArrived;
import io.vavr.control.Either;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Passes events to a {@link RoutingCore} and carries out its actions. All methods but {@link #loads} and {@link
 * #leavingEndpoints} must run on the given context.
 *
 * <p>Invariant: {@code pending} holds exactly the requests without a final answer.
 */
final class RoutingRuntime {
    /** A request that waits for its final answer. */
    private static final class Pending {
        final RequestArrived arrival;
        final ServiceRequest request;
        final Responder responder;
        int attempt;

        @Nullable
        ServiceResponse response;

        Pending(RequestArrived arrival, ServiceRequest request, Responder responder) {
            this.arrival = arrival;
            this.request = request;
            this.responder = responder;
        }
    }

    private final Vertx vertx;
    private final Context context;
    private final Clock clock;
    private final ExecutorClient executors;
    private final PeerMessenger peers;
    private final RoutingCore core;
    private final MetricRegistry metrics;
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Promise<Void> drained = Promise.promise();
    private volatile List<ServiceLoad> loads = List.of();
    private volatile List<String> leavingEndpoints = List.of();
    private boolean draining;
    private boolean closed;
    private long ejections;
    private long timer = -1;

    RoutingRuntime(
            Vertx vertx,
            Context context,
            Clock clock,
            ExecutorClient executors,
            PeerMessenger peers,
            RoutingCore core,
            MetricRegistry metrics) {
        this.vertx = vertx;
        this.context = context;
        this.clock = clock;
        this.executors = executors;
        this.peers = peers;
        this.core = core;
        this.metrics = metrics;
    }

    void start() {
        registerMetrics();
        scheduleTick();
    }

    void close() {
        closed = true;
        vertx.cancelTimer(timer);
    }

    private void scheduleTick() {
        if (closed) {
            return;
        }
        vertx.cancelTimer(timer);
        long delayMs = pending.isEmpty() ? RoutingOptions.IDLE_TICK_MS : RoutingOptions.TICK_MS;
        timer = vertx.setTimer(
                delayMs,
                id -> context.runOnContext(v -> {
                    tick();
                    scheduleTick();
                }));
    }

    void update(MembershipView view) {
        feed(new RoutingEvent.ViewChanged(view));
        publish();
    }

    void update(ServiceLimitsTable limits) {
        feed(new RoutingEvent.LimitsChanged(limits));
    }

    /** The failure with which the request would be refused now, checked before its idempotency key is recorded. */
    Optional<Failure> checkAdmission(RequestArrived arrival) {
        return core.checkAdmission(clock.nowMs(), arrival);
    }

    void submit(RequestArrived arrival, ServiceRequest request, Responder responder) {
        metrics.meter("routing.requests").mark();
        boolean wasIdle = pending.isEmpty();
        pending.put(arrival.requestId(), new Pending(arrival, request, responder));
        if (wasIdle) {
            scheduleTick();
        }
        feed(arrival);
    }

    void callerDisconnected(long requestId) {
        if (pending.containsKey(requestId)) {
            feed(new RoutingEvent.CallerDisconnected(requestId));
        }
    }

    Promise<Void> drain() {
        draining = true;
        feed(new RoutingEvent.DrainStarted());
        completeDrain();
        return drained;
    }

    List<ServiceLoad> loads() {
        return loads;
    }

    List<String> leavingEndpoints() {
        return leavingEndpoints;
    }

    private void tick() {
        feed(new RoutingEvent.Tick());
        publish();
    }

    private void publish() {
        loads = core.loads(clock.nowMs());
        List<String> leaving = core.leavingEndpoints();
        if (!leaving.equals(leavingEndpoints)) {
            Logger.info("event=endpoints-leaving endpoints={}", leaving);
        }
        leavingEndpoints = leaving;
        long total = core.stats().ejections();
        if (total != ejections) {
            Logger.warn("event=executors-ejected total={}", total);
        }
        ejections = total;
    }

    private void registerMetrics() {
        RoutingStats stats = core.stats();
        Map<String, LongSupplier> gauges = Map.ofEntries(
                Map.entry("sent", stats::sent),
                Map.entry("forwarded", stats::forwarded),
                Map.entry("delivered", stats::delivered),
                Map.entry("retries", stats::retries),
                Map.entry("busy", stats::busy),
                Map.entry("unreachable", stats::unreachable),
                Map.entry("refused_not_run", stats::refusedNotRun),
                Map.entry("refused_unknown", stats::refusedUnknown),
                Map.entry("abandoned", stats::abandoned),
                Map.entry("unexpected_answers", stats::unexpectedAnswers),
                Map.entry("missed_probes", stats::missedProbes),
                Map.entry("ejections", stats::ejections));
        gauges.forEach((name, value) -> metrics.gauge("routing." + name, () -> value::getAsLong));
    }

    private void feed(RoutingEvent event) {
        for (RoutingAction action : core.handle(clock.nowMs(), event)) {
            perform(action);
        }
        completeDrain();
    }

    private void completeDrain() {
        if (draining && pending.isEmpty()) {
            drained.tryComplete();
        }
    }

    private void perform(RoutingAction action) {
        if (action instanceof RoutingAction.SendToExecutor send) {
            send(send);
        } else if (action instanceof RoutingAction.ForwardToPeer forward) {
            forward(forward);
        } else if (action instanceof RoutingAction.Deliver deliver) {
            deliver(deliver);
        } else if (action instanceof RoutingAction.Refuse refuse) {
            refuse(refuse.requestId(), refuse.failure());
        } else if (action instanceof RoutingAction.Abandon abandon) {
            abandon(abandon);
        } else if (action instanceof RoutingAction.Probe probe) {
            probe(probe);
        }
    }

    private void send(RoutingAction.SendToExecutor action) {
        Pending request = pending.get(action.requestId());
        if (request == null) {
            return;
        }
        request.attempt = action.attempt();
        recordWait(request);
        executors
                .send(action.host(), action.port(), request.request, timeoutMs(action.deadlineAtMs()))
                .onComplete(result -> context.runOnContext(v ->
                        onAttemptCompleted(action.requestId(), action.attempt(), unwrap("executor.send", result))));
    }

    private void forward(RoutingAction.ForwardToPeer action) {
        Pending request = pending.get(action.requestId());
        if (request == null) {
            return;
        }
        request.attempt = action.attempt();
        long timeoutMs = timeoutMs(action.deadlineAtMs());
        ForwardRequest message = ForwardMessages.request(request.arrival, request.request, timeoutMs);
        peers.request(action.vmId(), message, ForwardResponse.class, timeoutMs)
                .onComplete(result -> context.runOnContext(v -> onAttemptCompleted(
                        action.requestId(),
                        action.attempt(),
                        unwrap("peer.forward", result).map(ForwardMessages::toResponse))));
    }

    private void onAttemptCompleted(long requestId, int attempt, Either<Failure, ServiceResponse> result) {
        Pending request = pending.get(requestId);
        if (request != null && request.attempt == attempt && result.isRight()) {
            request.response = result.get();
        }
        feed(new RoutingEvent.AttemptCompleted(requestId, attempt, outcome(result)));
    }

    private static AttemptOutcome outcome(Either<Failure, ServiceResponse> result) {
        if (result.isLeft()) {
            return new AttemptOutcome.Failed(result.getLeft());
        }
        ServiceResponse response = result.get();
        return response.busy()
                ? new AttemptOutcome.Busy(response.leaving())
                : new AttemptOutcome.Answered(response.status(), response.leaving());
    }

    private void deliver(RoutingAction.Deliver action) {
        Pending request = pending.remove(action.requestId());
        if (request == null) {
            return;
        }
        if (request.response == null || request.attempt != action.attempt()) {
            throw new IllegalStateException("no answer of attempt " + action.attempt() + " to deliver");
        }
        request.responder.answer(request.response);
    }

    private void refuse(long requestId, Failure failure) {
        Pending request = pending.remove(requestId);
        if (request != null) {
            metrics.meter("routing.refused." + failure.code()).mark();
            request.responder.fail(failure);
        }
    }

    private void abandon(RoutingAction.Abandon action) {
        Failure failure = action.mayHaveRun()
                ? Failure.outcomeUnknown(Refusals.STEP, "", "the caller closed its connection")
                : Refusals.callerDisconnected();
        refuse(action.requestId(), failure);
    }

    private void probe(RoutingAction.Probe action) {
        executors
                .probe(action.host(), action.port(), timeoutMs(action.deadlineAtMs()))
                .onComplete(result -> context.runOnContext(v -> feed(new RoutingEvent.ProbeCompleted(
                        action.endpointId(), action.sentAtMs(), probeResult(unwrap("executor.probe", result))))));
    }

    private static RoutingEvent.ProbeResult probeResult(Either<Failure, ExecutorClient.Health> result) {
        if (result.isLeft()) {
            return RoutingEvent.ProbeResult.MISSED;
        }
        return switch (result.get()) {
            case LIVE -> RoutingEvent.ProbeResult.LIVE;
            case LEAVING -> RoutingEvent.ProbeResult.LEAVING;
        };
    }

    private void recordWait(Pending request) {
        if (request.attempt == 1) {
            String name = "routing.wait." + request.arrival.requestClass().wireName();
            metrics.timer(name).update(clock.nowMs() - request.arrival.acceptedAtMs(), TimeUnit.MILLISECONDS);
        }
    }

    private long timeoutMs(long deadlineAtMs) {
        return Math.max(1, deadlineAtMs - clock.nowMs());
    }

    /**
     * The futures should never fail; one that does must still complete its attempt, or the slot would stay in use for
     * ever.
     */
    private static <T> Either<Failure, T> unwrap(String step, AsyncResult<Either<Failure, T>> result) {
        return result.succeeded()
                ? result.result()
                : Either.left(Failure.outcomeUnknown(step, "", String.valueOf(result.cause())));
    }
}
