package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.routing.Request.Phase;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;

/**
 * Decides where requests run: slots, queues, limits, retries, ejection. Deterministic: the same seed and events give
 * the same actions. Belongs to one event loop; not thread-safe.
 *
 * <p>Invariants: each request ends with exactly one of {@code Deliver}, {@code Refuse} and {@code Abandon}; at most
 * one attempt of a request is open; a failure claims "not run" only if no attempt can have run.
 */
public final class RoutingCore {
    private static final Failure BUSY =
            Failure.retryable(ErrorCode.OVERLOADED, Refusals.STEP, "", "executor is busy", Refusals.DEFAULT_RETRY_MS);

    private final RoutingOptions options;
    private final Map<Long, Request> requests = new HashMap<>();
    private final PriorityQueue<Request> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(Request::deadlineAtMs).thenComparingLong(Request::id));
    private final ServiceTable services;
    private final Admission admission;
    private final OutcomeObserver observer;
    private final RoutingStats stats = new RoutingStats();
    private List<RoutingAction> actions = new ArrayList<>();
    private long nowMs;
    private boolean ready;
    private long drainAtMs = Long.MAX_VALUE;

    public RoutingCore(RoutingOptions options, long seed) {
        this.options = options;
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        services = new ServiceTable(options, random, stats);
        admission = new Admission(options, random);
        observer = new OutcomeObserver(options, stats);
    }

    /** Handles an event at {@code nowMs} of a monotonic clock and returns the actions to carry out, in order. */
    public List<RoutingAction> handle(long nowMs, RoutingEvent event) {
        this.nowMs = nowMs;
        actions = new ArrayList<>();
        if (event instanceof RoutingEvent.RequestArrived arrived) {
            onRequestArrived(arrived);
        } else if (event instanceof RoutingEvent.AttemptCompleted completed) {
            onAttemptCompleted(completed);
        } else if (event instanceof RoutingEvent.CallerDisconnected disconnected) {
            onCallerDisconnected(disconnected.requestId());
        } else if (event instanceof RoutingEvent.ViewChanged changed) {
            onViewChanged(changed.view());
        } else if (event instanceof RoutingEvent.ProbeCompleted probe) {
            onProbeCompleted(probe);
        } else if (event instanceof RoutingEvent.LimitsChanged changed) {
            admission.update(changed.limits());
        } else if (event instanceof RoutingEvent.Tick) {
            onTick();
        } else if (event instanceof RoutingEvent.DrainStarted) {
            onDrainStarted();
        }
        return actions;
    }

    /** Load of all services, for the heartbeats to the peers. */
    public List<ServiceLoad> loads(long nowMs) {
        return services.loads(nowMs);
    }

    /**
     * Endpoints that this VM itself found leaving. Those reported by peers are left out, so that VMs don't repeat each
     * other's reports for ever.
     */
    public List<String> leavingEndpoints() {
        return services.leavingEndpoints();
    }

    /**
     * The failure with which a request would be refused now, checked before its idempotency key is recorded; empty if
     * it would be admitted.
     */
    public Optional<Failure> checkAdmission(long nowMs, RoutingEvent.RequestArrived arrival) {
        this.nowMs = nowMs;
        return Optional.ofNullable(refusal(arrival, false));
    }

    /** Requests without a final answer. */
    public int unansweredRequests() {
        return (int) requests.values().stream()
                .filter(r -> r.phase != Phase.ANSWERED)
                .count();
    }

    public RoutingStats stats() {
        return stats;
    }

    private void onRequestArrived(RoutingEvent.RequestArrived arrival) {
        Request request = new Request(arrival);
        requests.put(request.id(), request);
        Failure refusal = refusal(arrival, true);
        if (refusal != null) {
            refuse(request, refusal);
            return;
        }
        ServiceState service = services.get(arrival.service());
        service.retryBudget.onRequestArrived(admission.limitsOf(service).retryBudget());
        service.reserve.onArrival(arrival.requestClass(), nowMs);
        service.queue.add(request, nowMs);
        deadlines.add(request);
        dispatch(service);
    }

    @Nullable
    private Failure refusal(RoutingEvent.RequestArrived arrival, boolean displace) {
        if (arrival.acceptedAtMs() >= drainAtMs) {
            return Refusals.shuttingDown();
        }
        if (!ready) {
            return Refusals.notReady();
        }
        ServiceState service = services.find(arrival.service());
        if (service == null || !service.isKnown()) {
            return Refusals.unknownService(arrival.service());
        }
        Admission.Decision decision = admission.decide(service, arrival, nowMs);
        if (decision.displaced() != null && displace) {
            service.queue.remove(decision.displaced());
            long retryMs = admission.retryAfterMs(service, decision.displaced().requestClass(), nowMs);
            refuse(decision.displaced(), withNotRunOf(decision.displaced(), Refusals.displaced(retryMs)));
        }
        return decision.refusal();
    }

    private void dispatch(ServiceState service) {
        while (true) {
            Request request = service.queue.next();
            if (request == null) {
                return;
            }
            if (options.has(Safeguard.EARLY_REFUSAL) && service.isExpired(request, nowMs)) {
                service.queue.remove(request);
                expireQueued(service, request);
                continue;
            }
            EndpointState executor = service.pick(request, nowMs);
            if (executor != null) {
                service.queue.take(request, nowMs);
                send(request, executor);
                continue;
            }
            String peer = service.forwardTarget(request, nowMs);
            if (peer == null) {
                return;
            }
            service.queue.take(request, nowMs);
            forward(service, request, peer);
        }
    }

    private void send(Request request, EndpointState executor) {
        startAttempt(request);
        request.sends++;
        request.executor = executor;
        request.triedEndpoints.add(executor.id());
        executor.inUse++;
        stats.sent.increment();
        Endpoint to = executor.endpoint;
        actions.add(new RoutingAction.SendToExecutor(
                request.id(), request.attempt, to.id(), to.host(), to.port(), request.deadlineAtMs()));
    }

    private void forward(ServiceState service, Request request, String peer) {
        startAttempt(request);
        request.peer = peer;
        service.peers.onForwarded(peer);
        stats.forwarded.increment();
        actions.add(new RoutingAction.ForwardToPeer(request.id(), request.attempt, peer, request.deadlineAtMs()));
    }

    private void startAttempt(Request request) {
        request.phase = Phase.RUNNING;
        request.attempt++;
        request.sentAtMs = nowMs;
    }

    private void onAttemptCompleted(RoutingEvent.AttemptCompleted event) {
        Request request = requests.get(event.requestId());
        boolean matches = request != null
                && request.phase != Phase.QUEUED
                && (request.attempt == event.attempt() || !options.has(Safeguard.ATTEMPT_MATCHING));
        if (request == null || !matches) {
            stats.unexpectedAnswers.increment();
            return;
        }
        ServiceState service = services.get(request.arrival.service());
        EndpointState executor = request.executor;
        String peer = request.peer;
        request.executor = null;
        request.peer = null;
        if (executor != null) {
            executor.inUse--;
            observer.observe(service, request, executor, event.outcome(), nowMs);
        }
        if (request.phase == Phase.ANSWERED) {
            requests.remove(request.id());
        } else {
            handleOutcome(service, request, peer, event.outcome());
        }
        dispatch(service);
    }

    private void handleOutcome(ServiceState service, Request request, @Nullable String peer, AttemptOutcome outcome) {
        if (outcome instanceof AttemptOutcome.Answered) {
            stats.delivered.increment();
            requests.remove(request.id());
            actions.add(new RoutingAction.Deliver(request.id(), request.attempt));
        } else if (outcome instanceof AttemptOutcome.Busy) {
            retryNotRun(service, request, peer, BUSY);
        } else if (outcome instanceof AttemptOutcome.Failed failed
                && failed.failure().notRun()) {
            retryNotRun(service, request, peer, failed.failure());
        } else if (outcome instanceof AttemptOutcome.Failed failed) {
            request.mayHaveRun = true;
            if (peer != null) {
                request.sends++;
                request.forwards++;
            }
            retryOutcomeUnknown(service, request, failed.failure());
        }
    }

    private void retryNotRun(ServiceState service, Request request, @Nullable String peer, Failure cause) {
        if (request.callerDisconnected) {
            abandon(request);
        } else if (peer != null) {
            service.peers.onRefused(peer);
            request.forwards++;
            requeue(service, request);
        } else if (mayRetry(service, request)) {
            requeue(service, request);
        } else {
            long retryMs = admission.retryAfterMs(service, request.requestClass(), nowMs);
            refuse(
                    request,
                    Refusals.attemptsExhausted(
                            cause, isNotRun(request), Math.max(retryMs, OutcomeObserver.BUSY_PAUSE_MS)));
        }
    }

    /**
     * Retries an attempt that may have run. A forwarded request is retried only by the VM that accepted it from the
     * caller, or the retries of both VMs would multiply.
     */
    private void retryOutcomeUnknown(ServiceState service, Request request, Failure cause) {
        boolean safe = request.arrival.idempotent() || !options.has(Safeguard.SAFE_RETRY);
        if (request.callerDisconnected) {
            abandon(request);
        } else if (safe
                && request.arrival.hops() == 0
                && nowMs < request.deadlineAtMs()
                && mayRetry(service, request)) {
            requeue(service, request);
        } else if (nowMs >= request.deadlineAtMs()) {
            refuse(request, Refusals.deadlineWhileRunning(cause.peer()));
        } else {
            refuse(request, Refusals.outcomeUnknown(cause));
        }
    }

    private boolean mayRetry(ServiceState service, Request request) {
        if (request.arrival.acceptedAtMs() < drainAtMs && drainAtMs <= nowMs && isNotRun(request)) {
            // Peers already use the slots of a draining VM, so its executors may be busy; that must not end its
            // requests.
            return true;
        }
        return request.sends < options.settings().maxAttempts() && service.retryBudget.tryRetry();
    }

    private void requeue(ServiceState service, Request request) {
        if (nowMs >= request.deadlineAtMs()) {
            expireQueued(service, request);
            return;
        }
        stats.retries.increment();
        request.phase = Phase.QUEUED;
        service.queue.addFirst(request, nowMs);
    }

    private void onCallerDisconnected(long requestId) {
        Request request = requests.get(requestId);
        if (request == null || !options.has(Safeguard.CALLER_DISCONNECT)) {
            return;
        }
        request.callerDisconnected = true;
        if (request.phase == Phase.QUEUED) {
            ServiceState service = services.get(request.arrival.service());
            service.queue.remove(request);
            abandon(request);
        }
    }

    private void onViewChanged(MembershipView view) {
        ready = true;
        services.update(view);
        services.all().forEach(this::dispatch);
    }

    private void onProbeCompleted(RoutingEvent.ProbeCompleted probe) {
        for (ServiceState service : services.all()) {
            EndpointState executor = service.executor(probe.endpointId());
            if (executor == null) {
                continue;
            }
            executor.probing = false;
            switch (probe.result()) {
                case LIVE -> executor.onLiveProbe(probe.sentAtMs());
                case LEAVING -> observer.onLeavingProbe(executor, probe.sentAtMs(), nowMs);
                case MISSED -> stats.missedProbes.increment();
            }
            dispatch(service);
        }
    }

    private void onTick() {
        expire();
        for (ServiceState service : services.all()) {
            for (EndpointState executor : service.executors()) {
                executor.nextProbe(nowMs, options.settings().probeMs()).ifPresent(actions::add);
            }
            dispatch(service);
        }
    }

    private void expire() {
        while (!deadlines.isEmpty() && deadlines.peek().deadlineAtMs() <= nowMs) {
            Request request = deadlines.remove();
            if (requests.get(request.id()) != request) {
                continue;
            }
            if (request.phase == Phase.QUEUED) {
                ServiceState service = services.get(request.arrival.service());
                service.queue.remove(request);
                expireQueued(service, request);
            } else if (request.phase == Phase.RUNNING) {
                refuse(request, Refusals.deadlineWhileRunning(""));
            }
        }
    }

    private void expireQueued(ServiceState service, Request request) {
        long retryMs = admission.retryAfterMs(service, request.requestClass(), nowMs);
        refuse(request, Refusals.deadlineInQueue(isNotRun(request), retryMs));
    }

    private void onDrainStarted() {
        drainAtMs = nowMs;
        if (options.has(Safeguard.DRAIN_WAIT)) {
            return;
        }
        for (Request request : List.copyOf(requests.values())) {
            services.get(request.arrival.service()).queue.remove(request);
            if (request.phase != Phase.ANSWERED) {
                refuse(request, withNotRunOf(request, Refusals.shuttingDown()));
            }
        }
    }

    /**
     * Ends the request with a failure. While an attempt is in flight the request is kept, because the attempt holds a
     * slot.
     */
    private void refuse(Request request, Failure failure) {
        stats.refused(failure.notRun());
        actions.add(new RoutingAction.Refuse(request.id(), failure));
        if (request.phase == Phase.RUNNING && (request.executor != null || request.peer != null)) {
            request.phase = Phase.ANSWERED;
        } else {
            requests.remove(request.id());
        }
    }

    private void abandon(Request request) {
        stats.abandoned.increment();
        requests.remove(request.id());
        actions.add(new RoutingAction.Abandon(request.id(), !isNotRun(request)));
    }

    private boolean isNotRun(Request request) {
        return !request.mayHaveRun || !options.has(Safeguard.NOT_RUN_TRACKING);
    }

    private Failure withNotRunOf(Request request, Failure failure) {
        boolean notRun = isNotRun(request) && (request.executor == null && request.peer == null);
        return new Failure(
                failure.code(), failure.step(), failure.peer(), failure.message(), notRun, failure.retryAfterMs());
    }
}
