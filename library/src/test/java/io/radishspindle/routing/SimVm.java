package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.KeyedRequest;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.routing.RoutingEvent.RequestArrived;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** An entry VM in virtual time: carries out the actions of its core as the runtime does. */
final class SimVm {
    /** A request at this VM. */
    private static final class Local {
        final long call;
        final String identity;
        final Responder responder;
        int attempt;

        @Nullable
        ServiceResponse response;

        Local(long call, String identity, Responder responder) {
            this.call = call;
            this.identity = identity;
            this.responder = responder;
        }
    }

    final String id;
    final String dataCentre;
    final RoutingCore core;
    private final RoutingSimulation simulation;
    private final KeyedRequests keyed;
    private final Map<Long, Local> requests = new HashMap<>();
    private final Map<Long, Long> localIds = new HashMap<>();
    private int inFlight;
    private long nextId;
    long pausedUntilMs;
    long crashedAtMs = Long.MAX_VALUE;
    boolean draining;
    boolean ended;

    SimVm(String id, String dataCentre, RoutingCore core, RoutingSimulation simulation, KeyedRequests keyed) {
        this.id = id;
        this.dataCentre = dataCentre;
        this.core = core;
        this.simulation = simulation;
        this.keyed = keyed;
    }

    /** Feeds the core; a paused VM gets the event when it resumes, an ended one never. */
    void feed(RoutingEvent event) {
        long nowMs = simulation.time.nowMs();
        if (ended) {
            return;
        }
        if (nowMs < pausedUntilMs) {
            simulation.time.after(pausedUntilMs - nowMs, () -> feed(event));
            return;
        }
        core.handle(nowMs, event).forEach(this::perform);
        endIfDrained();
    }

    void drain() {
        draining = true;
        simulation.history.add(new History.DrainStarted(id, simulation.time.nowMs()));
        feed(new RoutingEvent.DrainStarted());
    }

    void crash() {
        ended = true;
        crashedAtMs = simulation.time.nowMs();
        simulation.history.add(new History.VmStopped(id, true, crashedAtMs));
    }

    void accept(long call, String identity, Optional<String> key, RequestArrived arrival, Responder caller) {
        Responder counted = counted(caller);
        if (draining) {
            counted.fail(Refusals.shuttingDown());
            return;
        }
        RequestArrived local = withId(arrival, ++nextId);
        localIds.put(call, local.requestId());
        if (key.isEmpty()) {
            submit(call, identity, local, counted);
            return;
        }
        keyed.begin(new KeyedRequest(arrival.service(), arrival.caller(), key.get(), 1), arrival.deadlineAtMs())
                .onSuccess(result -> {
                    if (ended) {
                        return;
                    }
                    if (result.isLeft()) {
                        counted.fail(result.getLeft());
                    } else if (result.get() instanceof BeginResult.Granted granted) {
                        submit(call, identity, local, new KeyedResponder(keyed, granted.claim(), counted));
                    } else {
                        KeyedResponder.answerRepeat(result.get(), counted);
                    }
                });
    }

    void forwarded(long call, String identity, RequestArrived arrival, Responder origin) {
        if (draining) {
            origin.fail(Refusals.shuttingDown());
            return;
        }
        submit(call, identity, withId(arrival, ++nextId), counted(origin));
    }

    void callerDisconnected(long call) {
        Long local = localIds.get(call);
        if (local != null) {
            feed(new RoutingEvent.CallerDisconnected(local));
        }
    }

    private void submit(long call, String identity, RequestArrived arrival, Responder responder) {
        requests.put(arrival.requestId(), new Local(call, identity, responder));
        feed(arrival);
    }

    private void perform(RoutingAction action) {
        if (action instanceof RoutingAction.SendToExecutor send) {
            send(send);
        } else if (action instanceof RoutingAction.ForwardToPeer forward) {
            forward(forward);
        } else if (action instanceof RoutingAction.Deliver deliver) {
            Local local = requests.remove(deliver.requestId());
            local.responder.answer(Optional.ofNullable(local.response).orElse(RoutingSimulation.NONE));
        } else if (action instanceof RoutingAction.Refuse refuse) {
            requests.remove(refuse.requestId()).responder.fail(refuse.failure());
        } else if (action instanceof RoutingAction.Abandon abandon) {
            Failure failure = abandon.mayHaveRun()
                    ? Failure.outcomeUnknown("test", "", "caller disconnected")
                    : Refusals.callerDisconnected();
            requests.remove(abandon.requestId()).responder.fail(failure);
        } else if (action instanceof RoutingAction.Probe probe) {
            simulation.probe(
                    probe,
                    result -> feed(new RoutingEvent.ProbeCompleted(probe.endpointId(), probe.sentAtMs(), result)));
        }
    }

    private void send(RoutingAction.SendToExecutor action) {
        Local local = requests.get(action.requestId());
        local.attempt = action.attempt();
        local.response = null;
        simulation.send(
                action,
                local.call,
                local.identity,
                (outcome, response) -> completed(action.requestId(), action.attempt(), outcome, response));
    }

    private void forward(RoutingAction.ForwardToPeer action) {
        Local local = requests.get(action.requestId());
        local.attempt = action.attempt();
        local.response = null;
        simulation.forward(
                this,
                action,
                local.call,
                local.identity,
                (outcome, response) -> completed(action.requestId(), action.attempt(), outcome, response));
    }

    private void completed(long requestId, int attempt, AttemptOutcome outcome, ServiceResponse response) {
        Local local = requests.get(requestId);
        if (local != null && local.attempt == attempt && outcome instanceof AttemptOutcome.Answered) {
            local.response = response;
        }
        feed(new RoutingEvent.AttemptCompleted(requestId, attempt, outcome));
    }

    private Responder counted(Responder target) {
        inFlight++;
        return new Responder() {
            @Override
            public Future<Void> answer(ServiceResponse response) {
                return target.answer(response).onComplete(written -> done());
            }

            @Override
            public Future<Void> fail(Failure failure) {
                return target.fail(failure).onComplete(written -> done());
            }

            private void done() {
                inFlight--;
                endIfDrained();
            }
        };
    }

    private void endIfDrained() {
        if (draining && inFlight == 0 && !ended) {
            ended = true;
            simulation.history.add(new History.VmStopped(id, false, simulation.time.nowMs()));
        }
    }

    private static RequestArrived withId(RequestArrived a, long id) {
        return new RequestArrived(
                id,
                a.service(),
                a.caller(),
                a.requestClass(),
                a.idempotent(),
                a.acceptedAtMs(),
                a.deadlineAtMs(),
                a.bodyBytes(),
                a.hops());
    }

    static Failure unreachable(String vm) {
        return Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", vm, "not connected", 100);
    }
}
