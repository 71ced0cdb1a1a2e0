package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The capacity of one worker that is free now and later, less what is held for higher-ranked tasks that wait. Used for
 * one pass; not thread-safe.
 *
 * <p>Invariants: a task that is admitted either is expected to end before the held amount is needed, or leaves that
 * amount intact. A hold gives way to a lasting task that would wait for longer than its bound otherwise, as it never
 * ends and so outlasts every hold.
 */
final class WorkerRoom {
    /**
     * Longest time that a lasting step waits from its readiness for a gang to start, in milliseconds. The platform
     * allows a lasting task 3 s beside room, which also have to suffice for a call for advice.
     */
    private static final long MAX_LASTING_WAIT_MS = 1_000;

    private record End(long atMs, Resources amount) {}

    private static final int UNKNOWN_PRIORITY = -2;
    /** Eviction priority of a worker without runs that may be preempted. */
    private static final int NO_EVICTION = -1;

    final WorkerState worker;
    /** Whether the worker could receive runs at the start of the pass. */
    final boolean usable;

    private final ExpectedEnds ends;
    private Resources held = Resources.NONE;
    private long heldFromMs = ExpectedEnds.NEVER;

    /** Results of {@link #freeAt} by time, of which a pass asks for few; valid while the usage is unchanged. */
    private final Map<Long, Resources> freeByTime = new HashMap<>();

    private @Nullable Resources cachedForUsed;
    private int evictionPriority = UNKNOWN_PRIORITY;

    WorkerRoom(WorkerState worker, ExpectedEnds ends, long nowMs) {
        this.worker = worker;
        this.ends = ends;
        usable = worker.isUsable(nowMs);
    }

    /** Holds an amount for tasks that are expected to start at {@code fromMs}. */
    void hold(Resources amount, long fromMs) {
        held = held.plus(amount);
        heldFromMs = Math.min(heldFromMs, fromMs);
    }

    /** Gives up what is held, as the capacity goes to a task to which the hold gives way. */
    void dropHold() {
        held = Resources.NONE;
        heldFromMs = ExpectedEnds.NEVER;
    }

    /** Must be called after runs of the worker were stopped. */
    void onRunsStopped() {
        cachedForUsed = null;
    }

    /** Returns whether tasks that need {@code amount} and are expected to end at {@code endMs} may start now. */
    boolean admits(Resources amount, long endMs) {
        if (!fitsNow(amount)) {
            return false;
        }
        return heldFromMs == ExpectedEnds.NEVER || endMs <= heldFromMs || amount.fitsIn(freeAt(heldFromMs));
    }

    /** Returns whether tasks of the step that need {@code amount} may start now in place of what is held. */
    boolean admitsInsteadOfHeld(StepState step, Resources amount) {
        return holdGivesWayTo(step) && fitsNow(amount);
    }

    private boolean holdGivesWayTo(StepState step) {
        return heldFromMs != ExpectedEnds.NEVER
                && step.spec.lasting()
                && heldFromMs > step.readySinceMs + MAX_LASTING_WAIT_MS;
    }

    /** Returns whether an amount fits into the capacity without a run, whether it is held or not. */
    private boolean fitsNow(Resources amount) {
        Resources capacity = worker.entry.capacity();
        Resources used = worker.used;
        return amount.milliCores() <= capacity.milliCores() - used.milliCores()
                && amount.memoryMib() <= capacity.memoryMib() - used.memoryMib()
                && amount.accelerators() <= capacity.accelerators() - used.accelerators();
    }

    /** Expected free capacity at a time for tasks of the step. */
    Resources freeFor(StepState step, long atMs) {
        return holdGivesWayTo(step) ? freeWithHeldAt(atMs) : freeAt(atMs);
    }

    /** Expected free capacity at a time, less what is held. */
    Resources freeAt(long atMs) {
        Resources free = freeWithHeldAt(atMs);
        return held == Resources.NONE ? free : free.minus(held);
    }

    private Resources freeWithHeldAt(long atMs) {
        if (cachedForUsed != worker.used) {
            freeByTime.clear();
            cachedForUsed = worker.used;
        }
        return freeByTime.computeIfAbsent(atMs, this::computeFreeAt);
    }

    private Resources computeFreeAt(long atMs) {
        Resources free = worker.free();
        for (RunState run : worker.runs.values()) {
            if (ends.endMs(run) <= atMs) {
                free = free.plus(run.reserved);
            }
        }
        return free;
    }

    /** Returns whether the worker had runs at the first call that a step of this priority may preempt. */
    boolean mayEvictFor(int priority) {
        if (evictionPriority == UNKNOWN_PRIORITY) {
            evictionPriority = NO_EVICTION;
            for (RunState run : worker.runs.values()) {
                TaskState task = run.task;
                if (task != null && !task.step.spec.lasting() && !task.step.spec.gang()) {
                    evictionPriority = Math.max(evictionPriority, task.step.job.job.priority());
                }
            }
        }
        return evictionPriority > priority;
    }

    /** Time at which an amount is expected to fit beside what is held; {@link ExpectedEnds#NEVER} if it never does. */
    long readyAtMs(Resources amount, long nowMs) {
        Resources free = worker.free().minus(held);
        if (amount.fitsIn(free)) {
            return nowMs;
        }
        List<End> sorted = worker.runs.values().stream()
                .map(run -> new End(ends.endMs(run), run.reserved))
                .sorted(Comparator.comparingLong(End::atMs))
                .toList();
        for (End end : sorted) {
            free = free.plus(end.amount());
            if (amount.fitsIn(free)) {
                return end.atMs();
            }
        }
        return ExpectedEnds.NEVER;
    }
}
