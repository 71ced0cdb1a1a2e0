package io.radishspindle.pool.core;

/** Times and limits of pool scheduling. Constants only; thread-safe. */
public final class PoolTiming {
    /** How far ahead runs are leased, in milliseconds: covers a restart of every VM, which takes 4 to 5 s. */
    public static final long LEASE_MS = 5_500;

    /** Slowest rate of a worker's clock against ours; the platform allows a deviation of 2%. */
    public static final double SLOWEST_CLOCK = 0.98;

    /** Added to every conclusion that a lease has ended, in milliseconds, for rounding on both clocks. */
    public static final long LEASE_MARGIN_MS = 50;

    /** A worker that has not answered for this many milliseconds gets no new work: two renewals have failed. */
    public static final long SILENT_MS = 2_600;

    /** How long a hold waits for an end, in milliseconds; a third of the lease leaves time for two repeats. */
    public static final long HOLD_WAIT_MS = 1_200;

    /** Shortest wait of a hold, in milliseconds, when an end is overdue. */
    public static final long MIN_HOLD_WAIT_MS = 200;

    /** A hold waits this much longer than until the next end is due, in milliseconds. */
    public static final long HOLD_MARGIN_MS = 80;

    /** Pause before a failed hold is repeated, in milliseconds. */
    public static final long HOLD_RETRY_MS = 120;

    /** Pause between holds while an end waits to become durable, in milliseconds. */
    public static final long ACK_RETRY_MS = 100;

    /** Part of a ticket's validity that is not used, in milliseconds, for the way to the worker. */
    public static final long TICKET_MARGIN_MS = 120;

    /** How far ahead room is forecast, in milliseconds: tickets of the users' queues are valid for 1.5 to 2 s. */
    public static final long FORECAST_MS = 1_500;

    /** Wait of a ready task before running work is preempted for it, in milliseconds. */
    public static final long PREEMPT_AFTER_MS = 250;

    /** Runs that are younger than this may be preempted without a checkpoint, in milliseconds. */
    public static final long YOUNG_RUN_MS = 300;

    /** Restart pause of a lasting task per consecutive failure, in milliseconds; capped below 3 s of absence. */
    public static final long RESTART_PAUSE_MS = 150;

    public static final long MAX_RESTART_PAUSE_MS = 1_000;

    /** How long a worker that fails its tasks gets no work, in milliseconds; then one task tests it. */
    public static final long SUSPEND_MS = 4_000;

    /** Largest share of a pool's workers that may be suspended at once. */
    public static final double MAX_SUSPENDED_SHARE = 0.35;

    /** Numbers skipped after a change of owner, above the starts that the previous owner may have made. */
    public static final int ATTEMPT_GAP = 8;

    private PoolTiming() {}
}
