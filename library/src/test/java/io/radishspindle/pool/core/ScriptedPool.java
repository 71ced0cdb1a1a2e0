package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import java.util.List;

/** A scheduler whose workers answer what a test scripts; workers have room for one task. Not thread-safe. */
final class ScriptedPool {
    static final long BOOT_MS = 500;

    final PoolScheduler scheduler = new PoolScheduler();
    long nowMs = 1_000;

    ScriptedPool(String... workers) {
        for (String id : workers) {
            Resources capacity = new Resources(1_000, 1_000, 0);
            scheduler.onWorkerRegistered(
                    new WorkerEntry(id, "p", id, 80, "dc", "r", false, -1, BOOT_MS, capacity, List.of()), nowMs);
        }
    }

    void submitJob() {
        scheduler.submit(SimJobs.job("a", 0, nowMs, SimJobs.step(1, 1_000, 0, 100)));
    }

    /** Submits the job as one that was stored under the claim of an earlier owner. */
    void submitInheritedJob() {
        scheduler.submitInherited(SimJobs.job("a", 0, nowMs, SimJobs.step(1, 1_000, 0, 100)), nowMs, nowMs);
    }

    /** A run of the only task of the job. */
    static Run run(int attempt) {
        return new Run(new TaskName("a", 0, 0, 0), attempt);
    }

    static List<RunningTask> running(Run run) {
        return List.of(new RunningTask(run, "", 100, 1_000));
    }

    static List<EndedRun> ended(Run run, RunEnd end) {
        return List.of(new EndedRun(1, run, end, ""));
    }

    void reportIdle(String... workers) {
        for (String id : workers) {
            report(id, List.of(), List.of());
        }
    }

    void report(String worker, List<RunningTask> running, List<EndedRun> ended) {
        report(worker, new WorkerReport(BOOT_MS, 1_000_000 + nowMs, running, ended));
    }

    void report(String worker, WorkerReport report) {
        scheduler.onHoldReply(worker, scheduler.holdOrder(worker, nowMs, 1), report, nowMs, nowMs);
    }

    /** The starts of a scheduling pass. */
    List<PoolAction.Start> starts() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(PoolAction.Start.class::cast)
                .toList();
    }
}
