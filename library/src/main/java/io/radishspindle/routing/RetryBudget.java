package io.radishspindle.routing;

/** Limits the retries of a service to a share of its requests, with a small reserve. Not thread-safe. */
final class RetryBudget {
    /** Retries that are possible before any request has paid for them; also the most that can be saved up. */
    private static final double RESERVE = 10;

    private final boolean limited;
    private double tokens = RESERVE;

    RetryBudget(RoutingOptions options) {
        limited = options.has(Safeguard.RETRY_BUDGET);
    }

    /** @param share retries as a share of the requests */
    void requestArrived(double share) {
        tokens = Math.min(RESERVE, tokens + share);
    }

    boolean tryRetry() {
        if (!limited) {
            return true;
        }
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
