package io.radishspindle.placement.internal;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.WorkerInfo;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A worker with everything charged to it. Not thread-safe.
 *
 * <p>Invariant: {@code free} is the capacity less the charges of {@code attempts}. It is negative only after a claim
 * that reports more than the capacity, which the core did not decide.
 */
final class WorkerState {
    /** Whether the worker may get work. */
    enum Condition {
        USABLE,
        LEAVING,
        UNREACHABLE,
        LOST
    }

    final String id;
    final Map<TaskAttempt, Attempt> attempts = new LinkedHashMap<>();
    WorkerInfo info;
    Condition condition = Condition.USABLE;
    Resources free;
    /** Charges of attempts that are being stopped. */
    Resources stopping = Resources.NONE;
    /** Capacity kept for waiting tasks within the current pass, set by {@link Preemptor}. */
    Resources earmarked = Resources.NONE;

    long lostAtMs;
    long quarantinedUntilMs;
    int quarantines;
    /** Failures since the last success, by job. */
    final Map<String, FailedTask> consecutiveFailures = new LinkedHashMap<>();

    int level = -1;

    /** A task that failed on this worker, kept so that a quarantine can refund the failed attempt to its job. */
    record FailedTask(JobState job, int index) {}

    WorkerState(WorkerInfo info) {
        this.id = info.id();
        this.info = info;
        this.free = info.capacity();
    }

    boolean hasAccelerators() {
        return info.capacity().accelerators() > 0;
    }

    boolean isUsable() {
        return condition == Condition.USABLE && quarantinedUntilMs == 0;
    }

    /** Free resources less the earmarked capacity. */
    Resources freeForOthers() {
        return earmarked.equals(Resources.NONE) ? free : free.minus(earmarked);
    }

    void charge(Attempt attempt) {
        if (attempts.put(attempt.id, attempt) != null) {
            throw new IllegalStateException("attempt " + attempt.id + " is already charged to worker " + id);
        }
        free = free.minus(attempt.charged);
    }

    void release(Attempt attempt) {
        if (attempts.remove(attempt.id) == null) {
            throw new IllegalStateException("attempt " + attempt.id + " is not charged to worker " + id);
        }
        free = free.plus(attempt.charged);
        if (attempt.isStopping()) {
            stopping = stopping.minus(attempt.charged);
        }
    }

    void checkNotOvercommitted(@Nullable Object cause) {
        if (free.milliCores() < 0 || free.memoryMib() < 0 || free.accelerators() < 0) {
            throw new IllegalStateException("worker " + id + " is overcommitted by " + cause + ": free " + free);
        }
    }
}
