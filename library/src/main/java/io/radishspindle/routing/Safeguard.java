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
    /** Accepts an answer only from the current attempt of a request. */
    ATTEMPT_MATCHING,
    /** Acts on "leaving" in probes and answers; off, only the VM list is used. */
    LEAVING_SIGNALS,
    /** Finishes queued requests during a drain; off, they are refused. */
    DRAIN_WAIT,
    /** Shares slots between classes by weight; off, all classes share one queue. */
    CLASS_WEIGHTS,
    /** Keeps some slots free of bulk requests while higher classes are active. */
    RESERVED_SLOTS,
    /** Shares slots between callers by deficit round robin; off, requests are served first come, first served. */
    CALLER_FAIRNESS,
    /** Limits retries to a share of the requests. */
    RETRY_BUDGET,
    /** Ejects failing and slow executors for a limited time. */
    OUTLIER_EJECTION,
    /** Forwards a request at most once. */
    HOP_LIMIT,
    /** Refuses requests that can't be served before their deadline. */
    EARLY_REFUSAL,
    /** Drops queued requests of callers that closed their connections. */
    CALLER_DISCONNECT
}
