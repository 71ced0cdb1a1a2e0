package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** Simulates a worker in virtual time: fencing, leases and acknowledged ends as on the platform. Not thread-safe. */
final class SimWorker {
    /** A run in progress with its planned end. */
    static final class ActiveRun {
        final Run run;
        final Resources resources;
        final boolean reservesProcessor;
        final boolean savesProgress;
        final long startedAtMs;
        final long savedMs;
        final long endsAtMs;
        final RunEnd end;
        final @Nullable String tenant;
        long stopsAtMs = Long.MAX_VALUE;

        ActiveRun(
                Run run,
                Resources resources,
                boolean reservesProcessor,
                boolean savesProgress,
                long startedAtMs,
                long savedMs,
                long workMs,
                RunEnd end,
                @Nullable String tenant) {
            this.tenant = tenant;
            this.run = run;
            this.resources = resources;
            this.reservesProcessor = reservesProcessor;
            this.savesProgress = savesProgress;
            this.startedAtMs = startedAtMs;
            this.savedMs = savedMs;
            endsAtMs = startedAtMs + (savedMs > 0 ? RESTORE_MS : 0) + workMs - savedMs;
            this.end = end;
        }

        /** The saved progress: milliseconds of work, as text. */
        String checkpoint(long nowMs) {
            long restoreMs = savedMs > 0 ? RESTORE_MS : 0;
            long progressMs = savedMs + Math.max(0, nowMs - startedAtMs - restoreMs);
            return savesProgress && progressMs > 0 ? Long.toString(progressMs) : "";
        }
    }

    private static final long STOP_DELAY_MS = 300;
    private static final long RESTORE_MS = 250;
    private static final long CLOCK_OFFSET_MS = 100_000;
    private static final double CLOCK_RATE = 0.985;

    /** Time in which an owner learns of a capacity that has shrunk: contact time and a heartbeat of the platform. */
    private static final long CAPACITY_NOTICE_MS = 4_500;

    /** A capacity that was in force until a certain time. */
    private record Past(Resources capacity, long untilMs) {}

    private final List<Past> pastCapacities = new ArrayList<>();
    private final SimHistory history;
    final Map<Run, ActiveRun> running = new LinkedHashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private final Map<TaskName, Integer> closedAttempts = new HashMap<>();
    WorkerEntry entry;
    boolean unreachable;
    /** Longest time for which the link delays each call, and each answer; 0 if it isn't congested. */
    long congestionMs;
    /** Every run that is started fails. */
    boolean failsStarts;

    int startsWhileFailing;
    /** The worker has crashed; it never comes back under its id. */
    boolean isDown;
    /** Another worker answers at the address. */
    boolean isReplaced;
    /** Breaks the hold in flight. */
    Runnable onCrash = () -> {};

    long bootWallMs;
    private long highestFencingToken;
    private long leaseEndWorkerMs;
    private long lastSequence;

    SimWorker(WorkerEntry entry, SimHistory history) {
        this.entry = entry;
        this.history = history;
        bootWallMs = entry.bootWallMs();
    }

    long clock(long nowMs) {
        return CLOCK_OFFSET_MS + (long) (nowMs * CLOCK_RATE);
    }

    /** By how much the link delays a call or an answer, in milliseconds. */
    long congestion(UniformRandomProvider random) {
        return congestionMs > 0 ? random.nextLong(congestionMs) : 0;
    }

    /** Ends the worker and all its runs. */
    void crash() {
        clear();
        isDown = true;
        onCrash.run();
    }

    /** The registration of the worker that has the address after a crash. */
    WorkerEntry successor(long nowMs) {
        return entry(entry.id() + "'", nowMs, entry.capacity());
    }

    private WorkerEntry withCapacity(Resources capacity) {
        return entry(entry.id(), entry.bootWallMs(), capacity);
    }

    private WorkerEntry entry(String id, long bootWallMs, Resources capacity) {
        return new WorkerEntry(
                id,
                entry.pool(),
                entry.host(),
                entry.port(),
                entry.dataCentre(),
                entry.rack(),
                false,
                -1,
                bootWallMs,
                capacity,
                entry.labels());
    }

    /** Restarts the worker under the same id; all its state is lost, and the owner learns of its new entry later. */
    void restart(long nowMs) {
        clear();
        bootWallMs = nowMs + 1;
        entry = entry(entry.id(), bootWallMs, entry.capacity());
    }

    private void clear() {
        running.keySet().forEach(run -> history.lost(run, entry.id()));
        running.values().forEach(active -> history.discharge(active.tenant, active.resources));
        running.clear();
        ended.clear();
        closedAttempts.clear();
        highestFencingToken = 0;
        leaseEndWorkerMs = 0;
        lastSequence = 0;
    }

    Answer start(
            StartOrder order,
            long nowMs,
            Resources resources,
            boolean fills,
            boolean saves,
            long workMs,
            RunEnd end,
            @Nullable String tenant) {
        if (order.fencingToken() < highestFencingToken) {
            return Answer.FENCED;
        }
        highestFencingToken = order.fencingToken();
        if (running.containsKey(order.run())) {
            return Answer.ACCEPTED;
        }
        if (order.leaseEndWorkerMs() <= clock(nowMs)) {
            return Answer.TOO_LATE;
        }
        leaseEndWorkerMs = Math.max(leaseEndWorkerMs, order.leaseEndWorkerMs());
        if (order.run().attempt() <= closedAttempts.getOrDefault(order.run().task(), 0)) {
            return Answer.OUTDATED;
        }
        long savedMs = order.checkpoint().isEmpty() ? 0 : Long.parseLong(order.checkpoint());
        ActiveRun active = new ActiveRun(order.run(), resources, !fills, saves, nowMs, savedMs, workMs, end, tenant);
        running.put(order.run(), active);
        startsWhileFailing += failsStarts ? 1 : 0;
        history.started(order.run(), entry.id(), nowMs);
        history.charge(tenant, resources);
        checkCapacity(nowMs);
        return Answer.ACCEPTED;
    }

    /** Changes the capacity of the worker; the owner learns of it later. */
    void resize(Resources capacity, long nowMs) {
        pastCapacities.add(new Past(entry.capacity(), nowMs));
        entry = withCapacity(capacity);
    }

    private Resources capacityToKeep(long nowMs) {
        return pastCapacities.stream()
                .filter(past -> past.untilMs() > nowMs - CAPACITY_NOTICE_MS)
                .map(Past::capacity)
                .reduce(entry.capacity(), Resources::atLeast);
    }

    /** The capacity that no run takes. */
    Resources free() {
        return running.values().stream().map(active -> active.resources).reduce(entry.capacity(), Resources::minus);
    }

    private void checkCapacity(long nowMs) {
        Resources sum = Resources.NONE;
        for (ActiveRun active : running.values()) {
            Resources r = active.resources;
            sum = sum.plus(active.reservesProcessor ? r : new Resources(0, r.memoryMib(), r.accelerators()));
        }
        Resources capacity = capacityToKeep(nowMs);
        if (!sum.fitsIn(capacity)) {
            history.violation(
                    nowMs + " worker " + entry.id() + " holds " + sum + " of " + capacity + ": " + running.keySet());
        }
    }

    Answer stop(Run run, long token, long nowMs) {
        if (token < highestFencingToken) {
            return Answer.FENCED;
        }
        highestFencingToken = token;
        ActiveRun active = running.get(run);
        if (active == null) {
            closedAttempts.merge(run.task(), run.attempt(), Math::max);
        } else {
            active.stopsAtMs = Math.min(active.stopsAtMs, nowMs + STOP_DELAY_MS);
        }
        return Answer.ACCEPTED;
    }

    Answer hold(HoldOrder order, long nowMs) {
        if (order.fencingToken() < highestFencingToken) {
            return Answer.FENCED;
        }
        highestFencingToken = order.fencingToken();
        leaseEndWorkerMs = Math.max(leaseEndWorkerMs, order.leaseEndWorkerMs());
        ended.removeIf(end -> {
            boolean acknowledged = end.sequence() <= order.acknowledged();
            if (acknowledged) {
                history.acknowledged(end.run(), end.end());
            }
            return acknowledged;
        });
        return Answer.ACCEPTED;
    }

    boolean hasEnds() {
        return !ended.isEmpty();
    }

    WorkerReport report(long nowMs) {
        ended.forEach(end -> history.listed(end.run(), end.end()));
        List<RunningTask> present = new ArrayList<>();
        running.values()
                .forEach(active -> present.add(new RunningTask(active.run, "", 100, active.resources.milliCores())));
        return new WorkerReport(bootWallMs, clock(nowMs), present, List.copyOf(ended));
    }

    void advance(long nowMs) {
        boolean leaseExpired = !running.isEmpty() && clock(nowMs) >= leaseEndWorkerMs;
        for (ActiveRun active : List.copyOf(running.values())) {
            if (nowMs >= active.endsAtMs) {
                end(active.run, active.end, "");
            } else if (nowMs >= active.stopsAtMs) {
                end(active.run, RunEnd.STOPPED, active.checkpoint(nowMs));
            } else if (leaseExpired) {
                end(active.run, RunEnd.LEASE_EXPIRED, "");
            }
        }
    }

    private void end(Run run, RunEnd end, String checkpoint) {
        ActiveRun active = running.remove(run);
        if (active != null) {
            history.discharge(active.tenant, active.resources);
        }
        closedAttempts.merge(run.task(), run.attempt(), Math::max);
        ended.add(new EndedRun(++lastSequence, run, end, checkpoint));
        history.ended(run, entry.id(), end);
    }
}
