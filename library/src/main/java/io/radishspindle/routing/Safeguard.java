package io.radishspindle.routing;

/**
 * Mechanisms of {@link RoutingCore} that a test or a benchmark can turn off to show what each one prevents. A VM
 * always runs with all of them.
 */
public enum Safeguard {
    /** Splits the slots among the entry VMs; off, each VM uses all slots of each executor. */
    SLOT_SPLIT,
    /** Repeats an attempt of unknown outcome only if the request is idempotent. */
    SAFE_RETRY,
    /** Claims "not run" only if no attempt can have run. */
    NOT_RUN_TRACKING,
    /** Takes an answer only from the attempt that is waited for. */
    ATTEMPT_MATCHING,
    /** Acts on "leaving" in probes and answers; off, only the VM list counts. */
    LEAVING_SIGNALS,
    /** Finishes queued requests during a drain; off, they are refused. */
    DRAIN_WAIT,
    /** Weights between classes; off, one queue. */
    CLASS_WEIGHTS,
    /** Keeps some slots free of bulk requests while higher classes are active. */
    RESERVED_SLOTS,
    /** Deficit round robin between callers; off, first-come first-served. */
    CALLER_FAIRNESS,
    /** Limits retries to a share of the requests. */
    RETRY_BUDGET,
    /** Takes failing and slow executors out for a while. */
    OUTLIER_EJECTION,
    /** Forwards a request at most once. */
    HOP_LIMIT,
    /** Refuses requests that can't be served before their deadline. */
    EARLY_REFUSAL,
    /** Drops queued requests of callers that are gone. */
    CALLER_GONE
}
