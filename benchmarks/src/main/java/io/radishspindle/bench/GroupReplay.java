package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/** Replays the arrivals of one group through one core in virtual time. Not thread-safe. */
final class GroupReplay implements FakeWorkers.Loop {
    private static final long TICK_MS = 50;
    private static final long SAMPLE_MS = 1_000;
    private static final long MAX_DRAIN_FACTOR = 4;
    private static final long LOST_AFTER_MS = 10_000;
    private static final long BACK_AFTER_MS = 60_000;
    /** A worker crashes this often per group and replay, and one fails all tasks for a third of it. */
    private static final int CRASHES = 2;

    private record Timed(long atMs, long sequence, Runnable action) {}

    private final GroupPlacement core;
    private final FakeWorkers workers;
    private final Resources capacity;
    private final ReplayStats stats = new ReplayStats();
    private final PriorityQueue<Timed> timeline =
            new PriorityQueue<>(Comparator.comparingLong(Timed::atMs).thenComparingLong(Timed::sequence));
    private final Map<String, GeneratedJob> jobs = new HashMap<>();
    private final Set<TaskId> waitingFirst = new HashSet<>();
    private final Set<TaskId> waiting = new HashSet<>();
    private Resources waitingSize = Resources.NONE;
    private long nextSequence;
    private long nowMs;

    GroupReplay(GroupPlacement core, List<WorkerInfo> infos) {
        this.core = core;
        this.workers = new FakeWorkers(infos, this, stats);
        this.capacity = infos.stream().map(WorkerInfo::capacity).reduce(Resources.NONE, Resources::plus);
        send(new PlacementEvent.AuthorityChanged(true, 1));
        infos.forEach(info -> send(new PlacementEvent.WorkerClaimed(info, List.of())));
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public void at(long atMs, Runnable action) {
        timeline.add(new Timed(atMs, nextSequence++, action));
    }

    ReplayStats run(List<GeneratedJob> arrivals, long durationMs, boolean faults) {
        arrivals.forEach(job -> at(job.arriveAtMs(), () -> arrive(job)));
        if (faults) {
            scheduleFaults(durationMs);
        }
        long nextSampleAtMs = 0;
        for (long tickAtMs = 0; isWanted(tickAtMs, durationMs); tickAtMs += TICK_MS) {
            advanceTo(tickAtMs);
            nowMs = tickAtMs;
            send(new PlacementEvent.Tick());
            if (nowMs >= nextSampleAtMs && nowMs <= durationMs) {
                sample();
                nextSampleAtMs += SAMPLE_MS;
            }
        }
        countUnstarted();
        return stats;
    }

    /** After the last arrival the queue is drained, so that waits are not cut off by the end of the replay. */
    private boolean isWanted(long atMs, long durationMs) {
        return atMs <= durationMs || !waitingFirst.isEmpty() && atMs <= durationMs * MAX_DRAIN_FACTOR;
    }

    private void advanceTo(long untilMs) {
        Timed next = timeline.peek();
        while (next != null && next.atMs() <= untilMs) {
            long batchAtMs = next.atMs();
            nowMs = batchAtMs;
            while (next != null && next.atMs() == batchAtMs) {
                timeline.poll();
                next.action().run();
                next = timeline.peek();
            }
            send(new PlacementEvent.Tick());
            next = timeline.peek();
        }
    }

    private void scheduleFaults(long durationMs) {
        for (int i = 0; i < CRASHES; i++) {
            FakeWorkers.Worker victim = workers.pick(1 + 3 * i);
            if (victim != null) {
                at(durationMs * (i + 1) / (CRASHES + 1), () -> crash(victim));
            }
        }
        FakeWorkers.Worker bad = workers.pick(2);
        if (bad != null) {
            at(durationMs / 3, () -> bad.bad = true);
            at(durationMs * 2 / 3, () -> bad.bad = false);
        }
    }

    private void crash(FakeWorkers.Worker worker) {
        String id = worker.info.id();
        workers.crash(worker);
        send(new PlacementEvent.WorkerUnreachable(id));
        at(nowMs + LOST_AFTER_MS, () -> send(new PlacementEvent.WorkerLost(id)));
        at(nowMs + BACK_AFTER_MS, () -> {
            worker.down = false;
            send(new PlacementEvent.WorkerClaimed(worker.info, List.of()));
        });
    }

    private void arrive(GeneratedJob job) {
        if (core.check(job.spec()).isLeft()) {
            return;
        }
        jobs.put(job.spec().id(), job);
        for (int i = 0; i < job.spec().tasks(); i++) {
            TaskId task = new TaskId(job.spec().id(), i);
            waitingFirst.add(task);
            setWaiting(task, job, true);
        }
        send(new PlacementEvent.JobAccepted(job.spec()));
    }

    private void setWaiting(TaskId task, GeneratedJob job, boolean waits) {
        if (waits && waiting.add(task)) {
            waitingSize = waitingSize.plus(job.needed());
        } else if (!waits && waiting.remove(task)) {
            waitingSize = waitingSize.minus(job.needed());
        }
    }

    @Override
    public void send(PlacementEvent event) {
        long startNs = System.nanoTime();
        List<PlacementAction> actions = core.handle(nowMs, event);
        long tookNs = System.nanoTime() - startNs;
        stats.coreNs += tookNs;
        long before = stats.decisions;
        actions.forEach(this::apply);
        if (stats.decisions > before) {
            stats.decisionNs.recordValue(tookNs);
        }
    }

    private void apply(PlacementAction action) {
        if (action instanceof PlacementAction.StartTask start) {
            applyStart(start);
        } else if (action instanceof PlacementAction.CommandTask command) {
            workers.command(command);
        } else if (action instanceof PlacementAction.TaskRequeued requeued) {
            setWaiting(requeued.task(), jobOf(requeued.task()), true);
        } else if (action instanceof PlacementAction.WorkerQuarantined) {
            stats.quarantines++;
        } else if (action instanceof PlacementAction.RecordJobEnd end) {
            endJob(jobOf(new TaskId(end.jobId(), 0)));
        }
    }

    private void endJob(GeneratedJob job) {
        for (int i = 0; i < job.spec().tasks(); i++) {
            TaskId task = new TaskId(job.spec().id(), i);
            stats.failedTasks += waiting.contains(task) ? 1 : 0;
            waitingFirst.remove(task);
            setWaiting(task, job, false);
        }
    }

    private GeneratedJob jobOf(TaskId task) {
        GeneratedJob job = jobs.get(task.jobId());
        if (job == null) {
            throw new IllegalStateException("unknown job " + task.jobId());
        }
        return job;
    }

    private void applyStart(PlacementAction.StartTask start) {
        stats.decisions++;
        TaskId task = start.attempt().task();
        GeneratedJob job = jobOf(task);
        setWaiting(task, job, false);
        if (waitingFirst.remove(task)) {
            stats.waits(job.spec().jobClass()).recordValue(nowMs - job.arriveAtMs());
        }
        workers.start(start, job);
    }

    private void sample() {
        stats.samplePacking(workers.busy(), waitingSize, capacity);
        workers.workers.values().forEach(worker -> stats.sampleOverfill(worker.isOverfilled()));
    }

    /** Tasks that never started count with the time they have waited, so that no policy gains by starving them. */
    private void countUnstarted() {
        for (TaskId task : waitingFirst) {
            GeneratedJob job = jobOf(task);
            JobClass jobClass = job.spec().jobClass();
            stats.waits(jobClass).recordValue(nowMs - job.arriveAtMs());
            stats.unstarted++;
        }
    }
}
