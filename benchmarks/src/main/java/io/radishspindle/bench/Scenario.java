package io.radishspindle.bench;

import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementEvent;
import java.util.List;

/**
 * A replay to be run with each contender.
 *
 * @param groups how many of the cell's groups are replayed, each through a core of its own
 * @param load true need of the arrivals as part of the capacity that services leave
 * @param backlogTasks tasks that wait in each group from the start
 */
record Scenario(
        String name, ClusterSize size, int groups, long durationMs, double load, int backlogTasks, boolean faults) {

    ReplayStats run(Contender contender, long seed) {
        ReplayStats total = new ReplayStats();
        for (int group = 0; group < groups; group++) {
            List<WorkerInfo> workers = size.workersOf(group);
            Workload workload = new Workload(size, workers, seed * 1_000 + group);
            List<GeneratedJob> jobs = workload.generate(durationMs, load);
            jobs.addAll(0, workload.backlog(backlogTasks));
            GroupReplay replay = new GroupReplay(contender.create(seed, workers), workers);
            total.add(replay.run(possible(jobs, workers, seed), durationMs, faults));
        }
        return total;
    }

    /** The jobs that can run on empty workers, so that all contenders get the same ones. */
    private static List<GeneratedJob> possible(List<GeneratedJob> jobs, List<WorkerInfo> workers, long seed) {
        GroupPlacement gate = Contender.FAIR_SHARE.create(seed, workers);
        workers.forEach(worker -> gate.handle(0, new PlacementEvent.WorkerClaimed(worker, List.of())));
        return jobs.stream().filter(job -> gate.check(job.spec()).isRight()).toList();
    }
}
