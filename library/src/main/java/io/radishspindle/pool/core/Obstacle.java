package io.radishspindle.pool.core;

import java.util.Locale;

/** Why a waiting task doesn't start, on one worker or at all. Immutable and thread-safe. */
enum Obstacle {
    // Of the task, whichever worker it would run on.
    NO_MAJORITY,
    RECOVERY,
    UNRESOLVED_RUN,
    RESTART_BACKOFF,
    QUOTA,
    /** The task is a suspect, whose trial has not been planned or may not start yet. */
    TRIAL,
    /** The task waits for the trial of a suspect of its step. */
    TRIAL_OF_STEP,

    // Of a worker that cannot receive any start.
    NOT_ANSWERING,
    HOLD_FAILED,
    OLD_REGISTRATION,
    UNKNOWN_RUN,
    NOT_RECORDED,
    DRAINING,

    // Of a worker on which this task may not start.
    LABEL,
    TOO_SMALL,
    CLOSED_FOR_TRIAL,
    /** Workers have crashed lately, and other tasks have not survived their start there yet. */
    UNPROVEN_STARTS,
    SPREAD,
    SUSPENDED,
    PROBATION,
    SERVING_TASK,
    /** The capacity is held for a step that ranks before. */
    HELD,
    NOT_QUERIED,
    NOT_APPROVED,
    TICKET_EXPIRED,
    /** Nothing stands in the way any more, so that the next pass may start the task. */
    NONE;

    /** Name in log lines. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
