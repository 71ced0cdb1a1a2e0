package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import org.jspecify.annotations.Nullable;

/**
 * A run that occupies or may occupy a worker, from the start order until its end is reported or certain. Belongs to its
 * scheduler; not thread-safe.
 */
final class RunState {
    /** Phase of the run on its worker. */
    enum Phase {
        STARTING,
        /** The start got no answer; the next report of the worker resolves the state. */
        UNRESOLVED,
        RUNNING,
        STOPPING
    }

    final Run run;
    final WorkerState worker;
    final Resources reserved;
    /** Null for a run without an unfinished task; such a run is stopped. */
    final @Nullable TaskState task;

    /** Null for a run of an unknown job or of a job without a tenant. */
    final @Nullable String tenant;

    /** What the run counts as against the quota of its tenant; doesn't change while the run occupies its worker. */
    Resources charged;

    /** The resources of the run are unknown, so that nothing may be started beside it. */
    boolean hasUnknownResources;

    final long sentAtMs;
    /** Starts from a checkpoint, or started before this owner knew of it, so that it doesn't last a run time. */
    boolean partial;

    /** Last forecast of the end, on the owner's clock. */
    long expectedEndMs;

    long forecastValidUntilMs = Long.MIN_VALUE;

    /** Time of the last report that contained the run. */
    long lastSeenMs;

    Phase phase = Phase.STARTING;
    /** Number of the answer or report that told the effect of the last order; see {@link #mustBeIn}. */
    long resolvedBy = EventSequence.NEVER;

    /** The start order got no answer, so that it may still be executed. */
    boolean startOutcomeUnknown;
    /** The worker has rejected the start for a run of the task of which this owner doesn't know. */
    boolean outdated;
    /** This incarnation of the worker has accepted a stop, which also prevents a start that arrives later. */
    boolean stopAccepted;

    /** When the worker was first known to have the run; -1 before that. */
    long acceptedAtMs = -1;
    /** A report that was requested after the run had survived its start contained the run. */
    boolean survivalReported;

    long stopSentAtMs;
    /** Stops without an answer yet, and those among them that an earlier incarnation may answer. */
    private int stopsInFlight;

    private int earlierStopsInFlight;
    long idleSinceMs = -1;

    RunState(
            Run run,
            WorkerState worker,
            Resources reserved,
            @Nullable TaskState task,
            @Nullable String tenant,
            long sentAtMs) {
        this.run = run;
        this.worker = worker;
        this.reserved = reserved;
        charged = task == null ? reserved : task.step.spec.perTask();
        this.task = task;
        this.tenant = tenant;
        this.sentAtMs = sentAtMs;
        lastSeenMs = sentAtMs;
        partial = task != null && !task.checkpoint.isEmpty();
    }

    /** Marks the run as stopping; returns the action that stops it. */
    PoolAction.Stop stop(long nowMs, String reason) {
        phase = Phase.STOPPING;
        stopSentAtMs = nowMs;
        stopsInFlight++;
        return new PoolAction.Stop(worker.entry, run, reason);
    }

    /** Whether the run had survived its start by a certain time, and before the connections of its worker broke. */
    boolean hasSurvivedStart(long atMs) {
        return hasSurvivedStart(atMs, PoolTiming.START_PROOF_MS);
    }

    /** As above, if a run that lasts for {@code proofMs} has survived its start. */
    boolean hasSurvivedStart(long atMs, long proofMs) {
        long knownMs = worker.brokenAtMs < 0 ? atMs : Math.min(atMs, worker.brokenAtMs);
        return acceptedAtMs >= 0 && knownMs - acceptedAtMs >= proofMs;
    }

    /** Whether the run is at work and has been for longer than a certain time. */
    boolean hasLasted(long ms, long nowMs) {
        return phase == Phase.RUNNING && acceptedAtMs >= 0 && nowMs - acceptedAtMs > ms;
    }

    void onAccepted(long nowMs) {
        if (acceptedAtMs < 0) {
            acceptedAtMs = nowMs;
        }
    }

    /** A stop got its answer, or will get none; returns whether an earlier incarnation may have given it. */
    boolean onStopAnswered() {
        stopsInFlight = Math.max(0, stopsInFlight - 1);
        boolean earlier = earlierStopsInFlight > 0;
        earlierStopsInFlight -= earlier ? 1 : 0;
        return earlier;
    }

    /** The worker has started anew and has forgotten the stops that it had accepted. */
    void onNewIncarnation() {
        stopAccepted = false;
        earlierStopsInFlight = stopsInFlight;
    }

    /** The effect of the last order about the run, or the run itself, is known from now on. */
    void onResolved() {
        resolvedBy = worker.calls.next();
    }

    /** Whether the report of a hold would contain the run if it had not ended. */
    boolean mustBeIn(SentHold hold) {
        return hold.number() > resolvedBy;
    }

    boolean isActive() {
        return phase == Phase.STARTING || phase == Phase.RUNNING;
    }
}
