package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.FakeStore;
import io.radishspindle.idempotency.VirtualKeyedRequests;
import io.radishspindle.idempotency.VirtualTime;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.routing.RoutingEvent.RequestArrived;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Entry VMs, executors and callers of three data centres in virtual time. The cores are the real ones; executors,
 * peers and the store are fakes with seeded faults. The same seed gives the same history.
 */
final class RoutingSimulation {
    /** Reports what a probe found. */
    interface ProbeReply extends Consumer<RoutingEvent.ProbeResult> {}

    private static final List<String> DATA_CENTRES = List.of("dc1", "dc1", "dc1", "dc2", "dc2", "dc3", "dc3");
    private static final long VIEW_MS = 250;
    private static final long VM_LIST_LAG_MS = 8_000;
    private static final long SUSPECT_MS = 1_000;
    static final ServiceResponse NONE =
            new ServiceResponse(0, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(), false, false);

    final VirtualTime time = new VirtualTime();
    final History history = new History();
    final Map<String, SimExecutor> executors = new TreeMap<>();
    final Map<String, SimVm> vms = new TreeMap<>();
    final Map<String, Long> leavingAtMs = new TreeMap<>();
    private final UniformRandomProvider random;
    private final SimFaults faults;
    private final RoutingOptions options;
    private long calls;
    final Map<Long, Integer> forwards = new TreeMap<>();

    RoutingSimulation(long seed, RoutingOptions options, SimFaults faults) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
        this.faults = faults;
        this.options = options;
        FakeStore store = new FakeStore(time, random);
        store.loseAnswer = faults.loseStoreAnswer();
        for (int i = 0; i < DATA_CENTRES.size(); i++) {
            String dataCentre = DATA_CENTRES.get(i);
            Endpoint endpoint = RoutingTestData.endpoint("e" + i, dataCentre, 1, 4);
            executors.put(endpoint.id(), new SimExecutor(endpoint, time, random, history, faults));
            RoutingCore core = new RoutingCore(options, random.nextLong());
            SimVm vm = new SimVm("vm" + i, dataCentre, core, this, VirtualKeyedRequests.create(time, store));
            vms.put(vm.id, vm);
        }
        vms.values().forEach(this::startVm);
    }

    /** Sends calls at {@code perSecond} for a time, then waits until all have ended. */
    RoutingSimulation run(double perSecond, long durationMs) {
        long endMs = time.nowMs() + durationMs;
        time.run(100);
        if (faults.scheduledEvents()) {
            scheduleEvents(durationMs);
        }
        scheduleCall(perSecond, endMs);
        time.run(durationMs + 20_000);
        return this;
    }

    void send(RoutingAction.SendToExecutor action, long call, String identity, SimExecutor.Reply reply) {
        SimExecutor executor = executors.get(action.endpointId());
        if (random.nextDouble() < faults.refuseConnection()) {
            time.after(1, () -> reply.accept(new AttemptOutcome.Failed(SimVm.unreachable(action.endpointId())), NONE));
            return;
        }
        SimExecutor.Reply once = withTimeout(action.deadlineAtMs(), reply);
        time.after(1, () -> executor.receive(call, identity, once));
    }

    void probe(RoutingAction.Probe action, ProbeReply reply) {
        time.after(1, () -> executors.get(action.endpointId()).probe(reply));
    }

    void forward(SimVm from, RoutingAction.ForwardToPeer action, long call, String identity, SimExecutor.Reply reply) {
        forwards.merge(call, 1, Integer::sum);
        SimVm to = vms.get(action.vmId());
        SimExecutor.Reply once = withTimeout(action.deadlineAtMs(), reply);
        if (to.ended) {
            time.after(1, () -> reply.accept(new AttemptOutcome.Failed(SimVm.unreachable(to.id)), NONE));
            return;
        }
        long delayMs = options.regionOf(from.dataCentre).equals(options.regionOf(to.dataCentre)) ? 1 : 8;
        if (random.nextDouble() < faults.loseForward()) {
            return;
        }
        Responder back = responder(
                response -> time.after(delayMs, () -> once.accept(new AttemptOutcome.Answered(200, false), response)),
                failure -> time.after(delayMs, () -> once.accept(new AttemptOutcome.Failed(failure), NONE)));
        time.after(delayMs, () -> {
            if (!to.ended) {
                to.forwarded(call, identity, forwardedArrival(from, action, identity), back);
            }
        });
    }

    private final Map<String, RequestArrived> arrivals = new TreeMap<>();

    private RequestArrived forwardedArrival(SimVm from, RoutingAction.ForwardToPeer action, String identity) {
        RequestArrived first = arrivals.get(identity);
        return arrival(first.caller(), first.requestClass(), first.idempotent(), action.deadlineAtMs(), 1);
    }

    /**
     * Adds a timeout to a reply. An answer after the timeout is dropped, or delivered as a duplicate if faults include
     * late answers.
     */
    private SimExecutor.Reply withTimeout(long deadlineAtMs, SimExecutor.Reply reply) {
        boolean[] done = {false};
        boolean[] timedOut = {false};
        time.after(Math.max(1, deadlineAtMs - time.nowMs()), () -> {
            if (!done[0]) {
                done[0] = true;
                timedOut[0] = true;
                Failure failure = Failure.outcomeUnknown("test", "", "no answer before the deadline");
                reply.accept(new AttemptOutcome.Failed(failure), NONE);
            }
        });
        return (outcome, response) -> {
            done[0] = true;
            if (!timedOut[0] || faults.lateAnswer() > 0) {
                reply.accept(outcome, response);
            }
        };
    }

    private void startVm(SimVm vm) {
        refreshView(vm);
        tick(vm);
    }

    private void tick(SimVm vm) {
        if (!vm.ended) {
            vm.feed(new RoutingEvent.Tick());
            time.after(RoutingOptions.TICK_MS, () -> tick(vm));
        }
    }

    private void refreshView(SimVm vm) {
        if (!vm.ended) {
            vm.feed(new RoutingEvent.ViewChanged(viewOf(vm)));
            time.after(VIEW_MS + random.nextInt(50), () -> refreshView(vm));
        }
    }

    private MembershipView viewOf(SimVm self) {
        long nowMs = time.nowMs();
        Set<String> reportedLeaving = new HashSet<>();
        List<EntryVm> all = new ArrayList<>();
        for (SimVm vm : vms.values()) {
            Liveness liveness = vm.draining ? Liveness.LEAVING : Liveness.LIVE;
            if (nowMs - SUSPECT_MS > vm.crashedAtMs) {
                liveness = Liveness.DEAD;
            }
            reportedLeaving.addAll(vm.core.leavingEndpoints());
            all.add(new EntryVm(vm.id, vm.dataCentre, "", 1, liveness, 1, vm.core.loads(nowMs)));
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (SimExecutor executor : executors.values()) {
            Endpoint e = executor.endpoint;
            boolean listed = leavingAtMs.getOrDefault(e.id(), Long.MAX_VALUE / 2) + VM_LIST_LAG_MS < nowMs;
            Liveness liveness = listed || reportedLeaving.contains(e.id()) ? Liveness.LEAVING : Liveness.LIVE;
            endpoints.add(new Endpoint(e.id(), e.service(), e.dataCentre(), "", 1, e.slots(), 64, liveness));
        }
        return RoutingTestData.view(all.get(new ArrayList<>(vms.keySet()).indexOf(self.id)), all, endpoints);
    }

    private void scheduleEvents(long durationMs) {
        at(0.2, durationMs, () -> leave("e0"));
        at(0.3, durationMs, () -> vms.get("vm1").pausedUntilMs = time.nowMs() + 1_500);
        at(0.35, durationMs, () -> executors.get("e1").hungUntilMs = time.nowMs() + 3_000);
        at(0.4, durationMs, () -> vms.get("vm2").drain());
        at(0.55, durationMs, () -> vms.get("vm3").crash());
        at(0.58, durationMs, () -> vms.get("vm1").pausedUntilMs = time.nowMs() + 5_000);
        at(0.59, durationMs, () -> leave("e2"));
        at(0.7, durationMs, () -> executors.get("e5").serviceMs = 1_000);
    }

    private void leave(String executor) {
        leavingAtMs.put(executor, time.nowMs());
        executors.get(executor).startLeaving();
    }

    private void at(double share, long durationMs, Runnable action) {
        time.after((long) (share * durationMs) + random.nextInt(200), action);
    }

    private void scheduleCall(double perSecond, long endMs) {
        if (time.nowMs() >= endMs) {
            return;
        }
        call("key-" + calls, random.nextInt(10) == 0, 2);
        double gapMs = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
        time.after((long) gapMs, () -> scheduleCall(perSecond, endMs));
    }

    /** A keyed call is repeated with the same key, mostly at another VM, until it succeeds. */
    private void call(String key, boolean keyed, int repeats) {
        List<SimVm> running = vms.values().stream().filter(vm -> !vm.ended).toList();
        SimVm vm = running.get(random.nextInt(running.size()));
        long call = ++calls;
        String identity = keyed ? key : "call-" + call;
        boolean idempotent = !keyed && random.nextBoolean();
        RequestClass requestClass = RequestClass.values()[random.nextInt(3)];
        RequestArrived arrival = arrival(
                "caller" + random.nextInt(6), requestClass, idempotent, time.nowMs() + 300 + random.nextInt(4_000), 0);
        if (keyed) {
            arrival = arrival("keyed", requestClass, false, arrival.deadlineAtMs(), 0);
        }
        arrivals.put(identity, arrival);
        history.add(new History.Sent(call, identity, idempotent, vm.id, time.nowMs()));
        Responder caller = responder(
                response ->
                        history.add(new History.Answered(call, response.body().toString(), time.nowMs())),
                failure -> {
                    history.add(new History.Refused(call, failure, time.nowMs()));
                    if (keyed && repeats > 0) {
                        time.after(50 + random.nextInt(1_000), () -> call(key, true, repeats - 1));
                    }
                });
        vm.accept(call, identity, keyed ? Optional.of(key) : Optional.empty(), arrival, caller);
        if (random.nextDouble() < faults.callerDisconnects()) {
            time.after(random.nextInt(100), () -> {
                history.add(new History.Disconnected(call, time.nowMs()));
                vm.callerDisconnected(call);
            });
        }
    }

    private RequestArrived arrival(
            String caller, RequestClass requestClass, boolean idempotent, long deadlineAtMs, int hops) {
        return new RequestArrived(
                0, RoutingTestData.SERVICE, caller, requestClass, idempotent, time.nowMs(), deadlineAtMs, 100, hops);
    }

    static Responder responder(Consumer<ServiceResponse> answer, Consumer<Failure> fail) {
        return new Responder() {
            @Override
            public Future<Void> answer(ServiceResponse response) {
                answer.accept(response);
                return Future.succeededFuture();
            }

            @Override
            public Future<Void> fail(Failure failure) {
                fail.accept(failure);
                return Future.succeededFuture();
            }
        };
    }
}
