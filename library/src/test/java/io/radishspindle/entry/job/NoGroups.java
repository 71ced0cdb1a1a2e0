package io.radishspindle.entry.job;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.ownership.GroupService;
import io.radishspindle.placement.PlacementPolicy;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;

/** An entry VM that owns no group. */
final class NoGroups implements GroupService {
    @Override
    public Future<Either<Failure, JobStatus>> submit(String group, long epoch, JobSpec job) {
        return Future.succeededFuture(Either.left(NoGroup.noOwner("group.submit", group)));
    }

    @Override
    public Future<Either<Failure, JobStatus>> cancel(String jobId, String actor) {
        return Future.succeededFuture(Either.left(NoGroup.unknownJob(jobId)));
    }

    @Override
    public Either<Failure, JobStatus> status(String group, String jobId, long afterEpoch) {
        return Either.left(NoGroup.unknownJob(jobId));
    }

    @Override
    public List<JobStatus> statuses(int limit) {
        return List.of();
    }

    @Override
    public List<GroupSummary> summaries() {
        return List.of();
    }

    @Override
    public void update(MembershipView view) {
        // Owns nothing that depends on the view.
    }

    @Override
    public void update(PlacementPolicy policy) {
        // Owns nothing that depends on the policy.
    }

    @Override
    public Future<Void> release() {
        return Future.succeededFuture();
    }
}
