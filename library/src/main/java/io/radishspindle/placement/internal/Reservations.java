package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Reservations for jobs that need more capacity than is free at once: gangs, and single tasks that smaller ones would
 * starve. Not thread-safe.
 *
 * <p>Invariant: a worker is part of at most one reservation, and there are at most {@link #MAX_RESERVATIONS}.
 */
final class Reservations {
    /** More reservations would leave capacity idle, which costs more than the later jobs' waiting time. */
    private static final int MAX_RESERVATIONS = 2;

    private static final long REPLAN_AFTER_MS = 1_000;

    private record ExpectedEnd(long atMs, Attempt attempt) {}

    private final Context context;
    private final WorkerTable workers;
    private final List<Reservation> active = new ArrayList<>();

    Reservations(Components components) {
        this.context = components.context;
        this.workers = components.workers;
    }

    /** Drops reservations whose job has started or ended. */
    void refresh() {
        active.removeIf(r -> r.job.bucket == null);
    }

    @Nullable
    Reservation of(JobState job) {
        for (Reservation reservation : active) {
            if (reservation.job == job) {
                return reservation;
            }
        }
        return null;
    }

    boolean isReserved(WorkerState worker) {
        return active.stream().anyMatch(r -> r.slack.containsKey(worker));
    }

    boolean allows(JobState job, WorkerState worker) {
        if (active.isEmpty()) {
            return true;
        }
        long endAtMs = expectedEndAtMs(job);
        for (Reservation reservation : active) {
            if (reservation.job != job && !reservation.allows(worker, job.demand, endAtMs, context.nowMs)) {
                return false;
            }
        }
        return true;
    }

    void noteStart(JobState job, WorkerState worker) {
        for (Reservation reservation : active) {
            if (reservation.job != job) {
                reservation.noteStart(worker, job.demand, expectedEndAtMs(job));
            }
        }
    }

    private long expectedEndAtMs(JobState job) {
        long runMs = job.expectedRunMs();
        return runMs == Long.MAX_VALUE ? runMs : context.nowMs + runMs;
    }

    /** Reserves capacity for {@code count} tasks of a job that does not fit now; replans at most once a second. */
    void reserve(JobState job, int count) {
        Reservation known = of(job);
        if (known != null && context.nowMs - known.plannedAtMs < REPLAN_AFTER_MS) {
            return;
        }
        if (known == null && active.size() >= MAX_RESERVATIONS) {
            return;
        }
        active.remove(known);
        Reservation planned = plan(job, count, known);
        if (planned != null) {
            active.add(planned);
        }
    }

    private @Nullable Reservation plan(JobState job, int count, @Nullable Reservation known) {
        Map<WorkerState, Resources> futureFree = new HashMap<>();
        List<ExpectedEnd> ends = new ArrayList<>();
        int fits = 0;
        for (WorkerState worker : workers.all()) {
            if (worker.isUsable() && !isReserved(worker)) {
                futureFree.put(worker, worker.free);
                fits += WorkerTable.fitCount(job.demand, worker.free, count);
                worker.attempts.values().forEach(a -> ends.add(new ExpectedEnd(expectedEndAtMs(a), a)));
            }
        }
        ends.sort(Comparator.comparingLong(ExpectedEnd::atMs));
        long shadowAtMs = context.nowMs;
        Iterator<ExpectedEnd> next = ends.iterator();
        while (fits < count && next.hasNext()) {
            ExpectedEnd end = next.next();
            shadowAtMs = end.atMs();
            fits += releaseAtEnd(futureFree, end.attempt(), job.demand, count);
        }
        if (fits < count || shadowAtMs == Long.MAX_VALUE) {
            return null;
        }
        long first = known == null ? shadowAtMs : known.firstShadowAtMs;
        return new Reservation(job, shadowAtMs, first, context.nowMs, slack(futureFree, job.demand, count));
    }

    private static int releaseAtEnd(
            Map<WorkerState, Resources> futureFree, Attempt attempt, Resources demand, int count) {
        Resources before = futureFree.getOrDefault(attempt.worker, Resources.NONE);
        Resources after = before.plus(attempt.charged);
        futureFree.put(attempt.worker, after);
        return WorkerTable.fitCount(demand, after, count) - WorkerTable.fitCount(demand, before, count);
    }

    private static Map<WorkerState, Resources> slack(
            Map<WorkerState, Resources> futureFree, Resources demand, int count) {
        List<WorkerState> order = new ArrayList<>(futureFree.keySet());
        Comparator<WorkerState> byFit = Comparator.comparingInt(
                w -> -WorkerTable.fitCount(demand, futureFree.getOrDefault(w, Resources.NONE), count));
        order.sort(byFit.thenComparing((WorkerState w) -> w.id));
        Map<WorkerState, Resources> slack = new HashMap<>();
        int remaining = count;
        for (WorkerState worker : order) {
            Resources free = futureFree.getOrDefault(worker, Resources.NONE);
            int tasksHere = WorkerTable.fitCount(demand, free, remaining);
            if (tasksHere == 0) {
                break;
            }
            slack.put(worker, free.minus(demand.times(tasksHere)));
            remaining -= tasksHere;
        }
        return slack;
    }

    /** An attempt that has run longer than expected is expected to run as long again. */
    private long expectedEndAtMs(Attempt attempt) {
        JobState job = attempt.job;
        if (job == null || job.spec.jobClass() == JobClass.SERVICE) {
            return Long.MAX_VALUE;
        }
        long planned = attempt.startedAtMs + job.expectedRunMs();
        return planned > context.nowMs ? planned : 2 * context.nowMs - attempt.startedAtMs + 1;
    }
}
