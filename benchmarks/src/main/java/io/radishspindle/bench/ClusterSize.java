package io.radishspindle.bench;

import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import java.util.ArrayList;
import java.util.List;

/** The sizes of the cell that docs/design.md names, split into groups of workers. Immutable and thread-safe. */
enum ClusterSize {
    /** Hanji's workers of today in 3 data centres of 2 groups. */
    TODAY(6, 34, 10, new Resources(16_000, 32_768, 0), 8, 24),
    /** 1,800 workers with 3,100 accelerators in 7 data centres of 6 groups. */
    TWO_YEAR(42, 1_800, 388, new Resources(64_000, 262_144, 0), 32, 370);

    private static final Resources WITH_ACCELERATORS = new Resources(64_000, 262_144, 8);
    private static final int WORKERS_PER_RACK = 4;

    final int groups;
    final int workers;
    /** Processors of the largest batch task. */
    final int largestTaskCores;

    final int teams;
    private final int acceleratorWorkers;
    private final Resources plain;

    ClusterSize(int groups, int workers, int acceleratorWorkers, Resources plain, int largestTaskCores, int teams) {
        this.groups = groups;
        this.workers = workers;
        this.acceleratorWorkers = acceleratorWorkers;
        this.plain = plain;
        this.largestTaskCores = largestTaskCores;
        this.teams = teams;
    }

    /** The workers of one group; every group has its part of the workers with accelerators. */
    List<WorkerInfo> workersOf(int group) {
        List<WorkerInfo> own = new ArrayList<>();
        for (int i = group; i < workers; i += groups) {
            Resources capacity = i < acceleratorWorkers ? WITH_ACCELERATORS : plain;
            String rack = "rack" + own.size() / WORKERS_PER_RACK;
            own.add(new WorkerInfo(String.format("w%04d", i), "dc", rack, "127.0.0.1", 1, capacity));
        }
        return own;
    }
}
