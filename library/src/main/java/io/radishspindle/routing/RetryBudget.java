package io.radishspindle.routing;

/** Limits the retries of a service to a share of its requests, with a small reserve. Not thread-safe. */
final class RetryBudget {
    /** Initial and maximum number of tokens; each retry takes one. */
    private static final double RESERVE = 10;

    private final boolean limited;
    private double tokens = RESERVE;

    RetryBudget(RoutingOptions options) {
        limited = options.has(Safeguard.RETRY_BUDGET);
    }

    /**
     * Adds the tokens of one request.
     *
     * @param share retries as a share of the requests
     */
    void onRequestArrived(double share) {
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
