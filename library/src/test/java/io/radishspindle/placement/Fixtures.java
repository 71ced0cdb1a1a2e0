package io.radishspindle.placement;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import java.util.Map;

/** Jobs and workers for tests. */
final class Fixtures {
    private Fixtures() {}

    static WorkerInfo worker(String id, String rack, Resources capacity) {
        return new WorkerInfo(id, "dc1", rack, "127.0.0.1", 9000, capacity);
    }

    static Resources cores(int cores) {
        return new Resources(cores * 1_000L, cores * 1_024L, 0);
    }

    static JobSpec job(String id, JobClass jobClass, int tasks, Resources perTask) {
        return new JobSpec(id, "team-a", "family-" + id, jobClass, tasks, perTask, 60_000, 3, Map.of());
    }

    static JobSpec ofTeam(JobSpec job, String team) {
        return new JobSpec(
                job.id(), team, job.family(), job.jobClass(), job.tasks(), job.perTask(), 60_000, 3, Map.of());
    }

    static JobSpec ofFamily(JobSpec job, String family, int maxAttempts) {
        return new JobSpec(
                job.id(),
                job.team(),
                family,
                job.jobClass(),
                job.tasks(),
                job.perTask(),
                60_000,
                maxAttempts,
                Map.of());
    }
}
