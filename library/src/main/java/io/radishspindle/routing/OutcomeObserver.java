package io.radishspindle.routing;

/** Updates the state of executors and the costs of callers from the outcomes of attempts. Not thread-safe. */
final class OutcomeObserver {
    /** How long an executor that answered "busy" gets no new work from this VM, in milliseconds. */
    static final long BUSY_PAUSE_MS = 20;
    /** A request that timed out counts against its executor only after this many average request times. */
    private static final double TIMEOUT_FACTOR = 3;

    private static final int FIRST_SERVER_ERROR = 500;

    private final RoutingOptions options;
    private final RoutingStats stats;

    OutcomeObserver(RoutingOptions options, RoutingStats stats) {
        this.options = options;
        this.stats = stats;
    }

    void observe(ServiceState service, Request request, EndpointState executor, AttemptOutcome outcome, long nowMs) {
        if (outcome instanceof AttemptOutcome.Answered answered) {
            onAnswered(service, request, executor, answered, nowMs);
        } else if (outcome instanceof AttemptOutcome.Busy busy) {
            stats.busy.increment();
            onLeavingFlag(executor, busy.leaving(), nowMs);
            executor.busyUntilMs = nowMs + BUSY_PAUSE_MS;
        } else if (outcome instanceof AttemptOutcome.Failed failed && !failed.isCallersFault()) {
            onFailed(service, request, executor, failed, nowMs);
        }
    }

    /** Handles a probe that found the executor leaving. */
    void onLeavingProbe(EndpointState executor, long sentAtMs, long nowMs) {
        if (options.has(Safeguard.LEAVING_SIGNALS)) {
            executor.onLeavingSignal(nowMs);
        } else {
            executor.onLiveProbe(sentAtMs);
        }
    }

    /** Handles the "leaving" flag of an answer. */
    void onLeavingFlag(EndpointState executor, boolean leaving, long nowMs) {
        if (leaving && options.has(Safeguard.LEAVING_SIGNALS)) {
            executor.onLeavingSignal(nowMs);
        }
    }

    private void onAnswered(
            ServiceState service,
            Request request,
            EndpointState executor,
            AttemptOutcome.Answered outcome,
            long nowMs) {
        double elapsedMs = nowMs - request.sentAtMs;
        double expectedMs = service.costs.expectedMs(request.caller());
        service.costs.record(request.caller(), elapsedMs);
        onLeavingFlag(executor, outcome.leaving(), nowMs);
        if (outcome.status() >= FIRST_SERVER_ERROR) {
            service.outliers.onErrorAnswer(executor, request.caller(), nowMs);
        } else {
            service.outliers.onSuccess(executor, elapsedMs, expectedMs, nowMs);
        }
    }

    private void onFailed(
            ServiceState service, Request request, EndpointState executor, AttemptOutcome.Failed outcome, long nowMs) {
        boolean timedOut = nowMs >= request.deadlineAtMs();
        boolean shortTimeout = timedOut && nowMs - request.sentAtMs < TIMEOUT_FACTOR * service.costs.meanMs();
        if (!shortTimeout) {
            service.outliers.onFailure(executor, nowMs);
        }
        if (outcome.failure().notRun()) {
            stats.unreachable.increment();
        }
    }
}
