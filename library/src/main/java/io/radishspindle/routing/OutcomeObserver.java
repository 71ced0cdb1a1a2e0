package io.radishspindle.routing;

/** Learns from the outcomes of attempts how executors and callers behave. Not thread-safe. */
final class OutcomeObserver {
    /** How long an executor that answered "busy" gets no new work from this VM, in milliseconds. */
    static final long BUSY_PAUSE_MS = 20;
    /** A timeout shorter than this many usual request times is no sign of a bad executor. */
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
            answered(service, request, executor, answered, nowMs);
        } else if (outcome instanceof AttemptOutcome.Busy busy) {
            stats.busy.increment();
            signal(executor, busy.leaving(), nowMs);
            executor.busyUntilMs = nowMs + BUSY_PAUSE_MS;
        } else if (outcome instanceof AttemptOutcome.Failed failed && !failed.isCallersFault()) {
            failed(service, request, executor, failed, nowMs);
        }
    }

    /** Notes that a probe found the executor leaving. */
    void probedLeaving(EndpointState executor, long sentAtMs, long nowMs) {
        if (options.has(Safeguard.LEAVING_SIGNALS)) {
            executor.sawLeaving(nowMs);
        } else {
            executor.sawLiveProbe(sentAtMs);
        }
    }

    /** Notes that an executor asks for no further work. */
    void signal(EndpointState executor, boolean leaving, long nowMs) {
        if (leaving && options.has(Safeguard.LEAVING_SIGNALS)) {
            executor.sawLeaving(nowMs);
        }
    }

    private void answered(
            ServiceState service,
            Request request,
            EndpointState executor,
            AttemptOutcome.Answered outcome,
            long nowMs) {
        double elapsedMs = nowMs - request.sentAtMs;
        double expectedMs = service.costs.expectedMs(request.caller());
        service.costs.record(request.caller(), elapsedMs);
        signal(executor, outcome.leaving(), nowMs);
        if (outcome.status() >= FIRST_SERVER_ERROR) {
            service.outliers.answeredWithError(executor, request.caller(), nowMs);
        } else {
            service.outliers.succeeded(executor, elapsedMs, expectedMs, nowMs);
        }
    }

    private void failed(
            ServiceState service, Request request, EndpointState executor, AttemptOutcome.Failed outcome, long nowMs) {
        boolean timedOut = nowMs >= request.deadlineAtMs();
        boolean hasty = timedOut && nowMs - request.sentAtMs < TIMEOUT_FACTOR * service.costs.meanMs();
        if (!hasty) {
            service.outliers.failed(executor, nowMs);
        }
        if (outcome.failure().notRun()) {
            stats.unreachable.increment();
        }
    }
}
