package io.radishspindle.pool.core;

import io.radishspindle.pool.model.TaskCrashes;
import io.radishspindle.pool.model.TaskCrashes.Crash;
import io.radishspindle.pool.model.TaskCrashes.Exposure;
import io.radishspindle.pool.model.TaskCrashes.Place;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * The workers that crashed under a task, or under a gang as a whole. A task with a record is a suspect: it runs as a
 * trial, on workers on which nothing else is started meanwhile, until it has survived its start. Belongs to its
 * scheduler; not thread-safe.
 *
 * <p>Invariants: an attempt counts at most once; a trial is started only once it is durable, unless the store is
 * unavailable and no crash can be attributed to the task alone.
 */
final class CrashRecord {
    /** A crash for which a single run could be to blame may still be a coincidence; two are not. */
    private static final int SOLE_CRASHES_TO_GIVE_UP = 2;
    /** As above, while workers crash for other causes as well. */
    private static final int SOLE_CRASHES_BESIDE_OTHER_CAUSES = 3;

    /** Crashes after which a prime suspect is given up in any case; a task may be started twice after the third. */
    private static final int MAX_CRASHES = 5;
    /** Time for which a trial of a task that may be innocent waits for the store, in milliseconds. */
    private static final long MAX_WRITE_WAIT_MS = 1_000;

    /** Few tasks have crashes, so that the map is created with the first one. */
    private Map<Integer, Crash> byAttempt = Map.of();

    private @Nullable Exposure exposure;
    private boolean durable;
    private boolean started;
    private long plannedAtMs;
    /** Time up to which the trial of an earlier owner may turn out to have crashed its worker. */
    private long unresolvedUntilMs = Long.MIN_VALUE;

    boolean isSuspect() {
        return !byAttempt.isEmpty();
    }

    /** Whether the task alone can be to blame for some crash. */
    boolean isPrimeSuspect() {
        return soleCrashes() > 0;
    }

    long soleCrashes() {
        return byAttempt.values().stream().filter(Crash::sole).count();
    }

    /** @param otherCauses whether workers crashed for other causes lately */
    boolean mustBeGivenUp(boolean otherCauses) {
        long needed = otherCauses && byAttempt.size() <= SOLE_CRASHES_BESIDE_OTHER_CAUSES
                ? SOLE_CRASHES_BESIDE_OTHER_CAUSES
                : SOLE_CRASHES_TO_GIVE_UP;
        return soleCrashes() >= needed || (byAttempt.size() >= MAX_CRASHES && isPrimeSuspect());
    }

    boolean hasCrash(int attempt) {
        return byAttempt.containsKey(attempt);
    }

    /** All other runs that could be to blame for a crash have turned out to be innocent. */
    void onOthersCleared(int attempt) {
        Crash crash = byAttempt.get(attempt);
        if (crash != null) {
            byAttempt.put(attempt, new Crash(attempt, crash.worker(), crash.address(), true));
        }
    }

    /** Adds a crash; returns whether the record has changed. Evidence against the task alone is never weakened. */
    boolean add(Crash crash) {
        Crash known = byAttempt.get(crash.attempt());
        if (known != null && (known.sole() || !crash.sole())) {
            return false;
        }
        if (known == null) {
            byAttempt = new TreeMap<>(byAttempt);
        }
        byAttempt.put(crash.attempt(), crash);
        return true;
    }

    /** Forgets all crashes: a run of the task has survived its start. */
    void clear() {
        byAttempt = Map.of();
        endExposure();
    }

    boolean crashedAt(String address) {
        return byAttempt.values().stream().anyMatch(crash -> crash.address().equals(address));
    }

    /** The crashes, for the log. */
    String describe() {
        return byAttempt.values().stream()
                .map(crash -> crash.worker() + "@" + crash.address() + (crash.sole() ? " alone" : " among others"))
                .collect(Collectors.joining(", "));
    }

    /** The run whose outcome is open; null if there is none. */
    @Nullable
    Exposure exposure() {
        return exposure;
    }

    boolean isExposed(int attempt) {
        return exposure != null && exposure.attempt() == attempt;
    }

    /** Plans a trial. */
    void plan(Exposure planned, long nowMs) {
        exposure = planned;
        durable = false;
        started = false;
        plannedAtMs = nowMs;
    }

    /** The worker of a run may have crashed, which a new owner has to know if this one is lost. */
    void expose(Exposure run) {
        exposure = run;
        started = true;
    }

    /** The outcome is known. */
    void endExposure() {
        exposure = null;
        started = false;
        unresolvedUntilMs = Long.MIN_VALUE;
    }

    /** Applies that a record with this exposure has become durable. */
    void onDurable(@Nullable Exposure written) {
        if (written != null && written.equals(exposure)) {
            durable = true;
        }
    }

    /** Whether the planned trial may be started, as a new owner would learn of it. */
    boolean mayStart(long nowMs) {
        return exposure != null
                && !started
                && (durable || (!isPrimeSuspect() && nowMs - plannedAtMs > MAX_WRITE_WAIT_MS));
    }

    void onStarted() {
        started = true;
        unresolvedUntilMs = Long.MIN_VALUE;
    }

    boolean isStarted() {
        return started;
    }

    /** Whether it is open what became of a trial of an earlier owner. */
    boolean isUnresolved(long nowMs) {
        return nowMs < unresolvedUntilMs;
    }

    void awaitOutcome(long untilMs) {
        unresolvedUntilMs = untilMs;
    }

    /** Whether the trial takes place on the worker. */
    boolean triesOn(WorkerState worker) {
        return exposure != null && exposure.places().stream().map(Place::worker).anyMatch(worker.id()::equals);
    }

    /** Returns what a new owner has to know; empty if there is nothing. */
    Collection<TaskCrashes> progress(int task) {
        if (byAttempt.isEmpty() && exposure == null) {
            return List.of();
        }
        return List.of(new TaskCrashes(task, List.copyOf(byAttempt.values()), exposure));
    }

    void restore(TaskCrashes saved) {
        saved.crashes().forEach(this::add);
        Exposure last = saved.exposure();
        if (last != null && !byAttempt.containsKey(last.attempt())) {
            exposure = last;
            durable = true;
            started = true;
        }
    }
}
