package io.radishspindle.pool.core;

/** Times and limits of pool scheduling. Constants only; thread-safe. */
public final class PoolTiming {
    /** Duration of the lease on runs, in milliseconds: covers a restart of every VM, which takes 4 to 5 s. */
    public static final long LEASE_MS = 5_500;

    /** Minimum rate of a worker's clock relative to the owner's; the platform allows a deviation of 2%. */
    public static final double MIN_CLOCK_RATE = 0.98;

    /** Added to the computed expiry of a lease, in milliseconds, for rounding on both clocks. */
    public static final long LEASE_MARGIN_MS = 50;

    /** Time without an answer after which a worker gets no new work, in milliseconds: two renewals have failed. */
    public static final long UNRESPONSIVE_AFTER_MS = 2_600;

    /**
     * Time for which an owner counts a worker that has accepted its token, in milliseconds, from the sending of the
     * hold: two holds that wait for ends, and a retry.
     */
    public static final long CONFIRMATION_MS = 3_200;

    /** Longest wait of a hold for an end, in milliseconds: under a third of the lease, so that two retries fit. */
    public static final long HOLD_WAIT_MS = 1_200;

    /** Time beyond its wait within which a hold is answered, in milliseconds: many times the round trip. */
    public static final long HOLD_ANSWER_MS = 350;

    /** Shortest wait of a hold, in milliseconds, when an end is overdue. */
    public static final long MIN_HOLD_WAIT_MS = 200;

    /** Wait of a hold beyond the expected time of the next end, in milliseconds. */
    public static final long HOLD_MARGIN_MS = 80;

    /** Delay before a failed hold is retried, in milliseconds. */
    public static final long HOLD_RETRY_MS = 120;

    /** Delay between holds while an end waits to become durable, in milliseconds. */
    public static final long ACK_RETRY_MS = 100;

    /** Safety margin on the validity of a ticket for the transmission to the worker, in milliseconds. */
    public static final long TICKET_MARGIN_MS = 120;

    /** Horizon of the capacity forecast, in milliseconds: tickets of the queues are valid for 1.5 to 2 s. */
    public static final long FORECAST_HORIZON_MS = 1_500;

    /**
     * Time that a run has to last to show that its start doesn't crash the worker, in milliseconds; other tasks wait as
     * long if they are started after a suspect.
     */
    public static final long START_PROOF_MS = 300;

    /** Time that a ready task waits before runs are preempted for it, in milliseconds. */
    public static final long PREEMPT_AFTER_MS = 250;

    /** Age up to which a run may be preempted without a checkpoint, in milliseconds. */
    public static final long MAX_UNSAVED_RUN_AGE_MS = 300;

    /** Restart backoff of a lasting task per consecutive end, in milliseconds. */
    public static final long RESTART_BACKOFF_MS = 150;

    /** Limit of the restart backoff, in milliseconds, so that a lasting task is unavailable for less than 3 s. */
    public static final long MAX_RESTART_BACKOFF_MS = 1_000;

    /** Attempt numbers skipped at a takeover, so that they exceed those that the previous owner may have used. */
    public static final int ATTEMPT_GAP = 8;

    private PoolTiming() {}
}
