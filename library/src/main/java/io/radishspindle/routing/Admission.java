package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** Decides whether a new request may join the queue of its service. Not thread-safe. */
final class Admission {
    /** Random share added to Retry-After, so that refused callers don't all retry at the same moment. */
    private static final double RETRY_JITTER = 0.25;

    /**
     * Result of a check.
     *
     * @param refusal why the request is refused; null if it may join
     * @param displaced queued request of a lower class that must leave the queue first; null if none
     */
    record Decision(@Nullable Failure refusal, @Nullable Request displaced) {}

    private static final Decision JOIN = new Decision(null, null);

    private final RoutingOptions options;
    private final UniformRandomProvider random;
    private ServiceLimitsTable serviceLimits;

    Admission(RoutingOptions options, UniformRandomProvider random) {
        this.options = options;
        this.random = random;
        this.serviceLimits = new ServiceLimitsTable(ServiceLimits.of(options.settings()), Map.of());
    }

    void update(ServiceLimitsTable table) {
        serviceLimits = table;
    }

    ServiceLimits limitsOf(ServiceState service) {
        return serviceLimits.of(service.name);
    }

    Decision decide(ServiceState service, RoutingEvent.RequestArrived arrival, long nowMs) {
        if (service.isUnusable(nowMs)) {
            return new Decision(Refusals.noExecutor(service.name), null);
        }
        long remainingMs = arrival.deadlineAtMs() - nowMs;
        if (remainingMs <= 0) {
            return new Decision(Refusals.deadlinePassed(), null);
        }
        double waitMs = service.expectedWaitMs(arrival.requestClass(), arrival.caller(), nowMs);
        double neededMs = waitMs == 0 ? 0 : waitMs + service.leastRunMs(arrival.caller());
        if (neededMs > remainingMs && options.has(Safeguard.EARLY_REFUSAL)) {
            long retryMs = jitter(neededMs - remainingMs);
            return new Decision(Refusals.waitTooLong((long) neededMs, remainingMs, retryMs), null);
        }
        return checkBounds(service, arrival, nowMs);
    }

    private Decision checkBounds(ServiceState service, RoutingEvent.RequestArrived arrival, long nowMs) {
        int perCaller = serviceLimits.of(service.name).maxQueuedPerCaller();
        if (service.queue.queuedOf(arrival.caller()) >= perCaller) {
            long retryMs = retryAfterMs(service, arrival.requestClass(), nowMs);
            return new Decision(Refusals.queueFull("caller " + arrival.caller(), perCaller, retryMs), null);
        }
        int perService = serviceLimits.of(service.name).maxQueuedPerService();
        if (service.queue.size() < perService) {
            return JOIN;
        }
        Request displaced = service.queue.displacementCandidate(arrival.requestClass());
        if (displaced != null) {
            return new Decision(null, displaced);
        }
        long retryMs = retryAfterMs(service, arrival.requestClass(), nowMs);
        return new Decision(Refusals.queueFull("service " + service.name, perService, retryMs), null);
    }

    /** Retry-After of a refusal: expected time until half of the class's queue is served, in milliseconds. */
    long retryAfterMs(ServiceState service, RequestClass requestClass, long nowMs) {
        int shares = 0;
        for (RequestClass other : RequestClass.values()) {
            shares += service.queue.size(other) > 0 || other == requestClass ? other.weight() : 0;
        }
        int half = service.queue.size(requestClass) / 2 * shares / requestClass.weight();
        return jitter(service.timeToServeMs(Math.min(half, service.queue.size()) + 1, nowMs));
    }

    private long jitter(double milliseconds) {
        return Math.max(1, (long) (milliseconds * (1 + RETRY_JITTER * random.nextDouble())));
    }
}
