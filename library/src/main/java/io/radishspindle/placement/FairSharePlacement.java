package io.radishspindle.placement;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.placement.internal.PlacementEngine;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;

/**
 * Placement policy used in production: job classes, fair share with quotas, gangs with reservations, best-fit packing
 * and quarantine of faulty workers. Not thread-safe; one instance belongs to the event loop of one group's owner.
 *
 * <p>The same events at the same times give the same actions. Unknown, stale and repeated events change nothing.
 */
public final class FairSharePlacement implements GroupPlacement {
    private final PlacementEngine engine;

    /**
     * Creates a core that knows no workers or jobs and has no authority to start tasks.
     *
     * @param seed accepted because all decision cores take a seed; this policy breaks ties by id and draws no random
     *     numbers
     * @param policy the settings until the first {@link PlacementEvent.PolicyChanged}
     */
    public FairSharePlacement(long seed, PlacementPolicy policy) {
        this.engine = new PlacementEngine(policy);
    }

    @Override
    public List<PlacementAction> handle(long nowMs, PlacementEvent event) {
        return engine.handle(nowMs, event);
    }

    @Override
    public Either<Failure, JobSpec> check(JobSpec job) {
        return engine.check(job);
    }

    @Override
    public Optional<JobStatus> status(long nowMs, String jobId) {
        return engine.status(nowMs, jobId);
    }

    @Override
    public List<JobStatus> statuses(long nowMs) {
        return engine.statuses(nowMs);
    }

    @Override
    public Totals totals() {
        return engine.totals();
    }
}
