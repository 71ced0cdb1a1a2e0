package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.routing.RoutingAction.ForwardToPeer;
import io.radishspindle.routing.RoutingAction.Probe;
import io.radishspindle.routing.RoutingAction.Refuse;
import io.radishspindle.routing.RoutingAction.SendToExecutor;
import io.radishspindle.routing.RoutingEvent.ProbeResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

/** Drives one core step by step in virtual time; probes are answered at once by {@code probes}. */
final class CoreDriver {
    final RoutingCore core;
    final List<RoutingAction> actions = new ArrayList<>();
    Function<String, ProbeResult> probes = endpoint -> ProbeResult.LIVE;
    long nowMs = 1_000;
    private long nextId;

    CoreDriver(RoutingOptions options) {
        core = new RoutingCore(options, 7);
    }

    /** One VM with executors of the given slots. */
    static CoreDriver singleVm(RoutingOptions options, int... slots) {
        CoreDriver driver = new CoreDriver(options);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < slots.length; i++) {
            endpoints.add(RoutingTestData.endpoint("e" + i, "dc1", 1, slots[i]));
        }
        driver.view(List.of(RoutingTestData.vm("vm1", "dc1")), endpoints);
        return driver;
    }

    void view(List<EntryVm> vms, List<Endpoint> endpoints) {
        feed(new RoutingEvent.ViewChanged(RoutingTestData.view(vms.get(0), vms, endpoints)));
        tick();
    }

    void feed(RoutingEvent event) {
        for (RoutingAction action : core.handle(nowMs, event)) {
            actions.add(action);
            if (action instanceof Probe probe) {
                feed(new RoutingEvent.ProbeCompleted(
                        probe.endpointId(), probe.sentAtMs(), probes.apply(probe.endpointId())));
            }
        }
    }

    void tick() {
        feed(new RoutingEvent.Tick());
    }

    void advance(long durationMs) {
        long endMs = nowMs + durationMs;
        while (nowMs < endMs) {
            nowMs = Math.min(endMs, nowMs + RoutingOptions.TICK_MS);
            tick();
        }
    }

    long arrive(String caller, RequestClass requestClass, boolean idempotent, long deadlineMs) {
        return arrive(caller, requestClass, idempotent, deadlineMs, 100, 0);
    }

    long arrive(String caller, RequestClass requestClass, boolean idempotent, long deadlineMs, int bytes, int hops) {
        long id = ++nextId;
        feed(new RoutingEvent.RequestArrived(
                id, RoutingTestData.SERVICE, caller, requestClass, idempotent, nowMs, nowMs + deadlineMs, bytes, hops));
        return id;
    }

    long arrive(String caller) {
        return arrive(caller, RequestClass.NORMAL, true, 10_000);
    }

    void answer(long id) {
        complete(id, new AttemptOutcome.Answered(200, false));
    }

    void complete(long id, AttemptOutcome outcome) {
        int attempt = (int) actions.stream()
                .filter(a -> (a instanceof SendToExecutor s && s.requestId() == id)
                        || (a instanceof ForwardToPeer f && f.requestId() == id))
                .count();
        feed(new RoutingEvent.AttemptCompleted(id, attempt, outcome));
    }

    static AttemptOutcome broken() {
        return new AttemptOutcome.Failed(Failure.outcomeUnknown("test", "e", "connection closed"));
    }

    static AttemptOutcome refusedConnection() {
        return new AttemptOutcome.Failed(
                Failure.retryable(ErrorCode.PEER_UNREACHABLE, "test", "e", "connection refused", 1_000));
    }

    Stream<SendToExecutor> sends() {
        return actionsOf(SendToExecutor.class);
    }

    List<Long> sentIds() {
        return sends().map(SendToExecutor::requestId).toList();
    }

    List<String> forwards() {
        return actionsOf(ForwardToPeer.class).map(ForwardToPeer::vmId).toList();
    }

    Failure refusal(long id) {
        return actionsOf(Refuse.class)
                .filter(refuse -> refuse.requestId() == id)
                .map(Refuse::failure)
                .findFirst()
                .orElseThrow(() -> new AssertionError("request " + id + " was not refused"));
    }

    <T extends RoutingAction> Stream<T> actionsOf(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast);
    }
}
