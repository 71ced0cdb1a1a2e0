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
    /** A crash for which a single step could be to blame may still be a coincidence; two are not. */
    private static final int SOLE_CRASHES_TO_GIVE_UP = 2;
    /** As above, while workers crash for other causes as well. */
    private static final int SOLE_CRASHES_BESIDE_OTHER_CAUSES = 3;

    /** Crashes after which a prime suspect is given up in any case; a task may be started twice after the third. */
    private static final int MAX_CRASHES = 5;
    /** Time for which a trial of a task that may be innocent waits for the store, in milliseconds. */
    private static final long MAX_WRITE_WAIT_MS = 1_000;
    /** Longest time for which a plan keeps workers closed before its trial has started, in milliseconds. */
    private static final long MAX_PLANNED_MS = 1_200;

    private static final long NOT_WANTED = -1;

    /** Few tasks have crashes, so that the map is created with the first one. */
    private Map<Integer, Crash> byAttempt = Map.of();

    private @Nullable Exposure exposure;
    private boolean durable;
    private boolean started;
    private long plannedAtMs;
    /** Earliest time of the next plan, after one that could not be started. */
    private long planFromMs = Long.MIN_VALUE;
    /** When the next trial is overdue, if one is wanted. */
    private long trialDueMs = NOT_WANTED;
    /** Some worker went silent in its crash, so that time alone doesn't show that a run has survived its start. */
    private boolean silent;
    /** Time up to which the trial of an earlier owner may turn out to have crashed its worker. */
    private long unresolvedUntilMs = Long.MIN_VALUE;

    /** Whether some crash may be the fault of the task. */
    boolean isSuspect() {
        return unexplained() > 0;
    }

    /** Number of crashes for which no other task was found to be to blame. */
    long unexplained() {
        return byAttempt.values().stream().filter(crash -> !crash.explained()).count();
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

    /**
     * Another task was found to have caused a crash. A task is excused once, as two at fault may have been started on a
     * worker together; the crash still counts towards the highest number.
     */
    void excuse(int attempt) {
        Crash crash = byAttempt.get(attempt);
        boolean excused = byAttempt.values().stream().anyMatch(Crash::explained);
        if (crash != null && !excused) {
            byAttempt.put(attempt, new Crash(attempt, crash.worker(), crash.address(), false, true));
        }
    }

    /** Another task of the step, under which the same worker has crashed, has survived its start. */
    void onSiblingCleared(CrashRecord sibling) {
        if (unexplained() == 1 && sharesWorkerWith(sibling)) {
            List.copyOf(byAttempt.keySet()).forEach(this::excuse);
        }
    }

    /**
     * A worker was lost under a run of the task.
     *
     * @param wentSilent rather than that its connections were closed
     */
    void onSuspected(boolean wentSilent) {
        silent |= wentSilent;
    }

    /** Whether only a report shows that a run of the task has survived its start. */
    boolean needsReport() {
        return silent;
    }

    boolean hasCrash(int attempt) {
        return byAttempt.containsKey(attempt);
    }

    /** All other runs that could be to blame for a crash have turned out to be innocent. */
    void onOthersCleared(int attempt) {
        Crash crash = byAttempt.get(attempt);
        if (crash != null) {
            trialDueMs = NOT_WANTED;
            byAttempt.put(attempt, new Crash(attempt, crash.worker(), crash.address(), true, false));
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
        silent = false;
        endExposure();
    }

    /** Whether one worker has crashed under both tasks. */
    boolean sharesWorkerWith(CrashRecord other) {
        return byAttempt.values().stream().anyMatch(crash -> other.byAttempt.values().stream()
                .anyMatch(theirs -> crash.worker().equals(theirs.worker())));
    }

    boolean crashedAt(String address) {
        return byAttempt.values().stream().anyMatch(crash -> crash.address().equals(address));
    }

    /** The crashes, for the log. */
    String describe() {
        return byAttempt.values().stream()
                .map(crash -> crash.worker() + "@" + crash.address() + blame(crash))
                .collect(Collectors.joining(", "));
    }

    private static String blame(Crash crash) {
        if (crash.explained()) {
            return " explained";
        }
        return crash.sole() ? " alone" : " among others";
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
        trialDueMs = NOT_WANTED;
    }

    /** @param dueMs when the trial is overdue if it wasn't wanted before */
    void onTrialWanted(long dueMs) {
        trialDueMs = trialDueMs == NOT_WANTED ? dueMs : trialDueMs;
    }

    /** Whether a trial has been wanted for too long. */
    boolean isTrialOverdue(long nowMs) {
        return trialDueMs != NOT_WANTED && nowMs >= trialDueMs;
    }

    /** Whether a trial may be planned. */
    boolean mayPlan(long nowMs) {
        return nowMs >= planFromMs;
    }

    /** Whether a plan has kept its workers closed for as long as it may without a start. */
    boolean isPlanOverdue(long nowMs) {
        return exposure != null && !started && nowMs - plannedAtMs > MAX_PLANNED_MS;
    }

    /** Withdraws a plan that could not be started, and opens its workers for at least as long as it has closed them. */
    void withdrawPlan(long nowMs) {
        endExposure();
        planFromMs = nowMs + MAX_PLANNED_MS;
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
