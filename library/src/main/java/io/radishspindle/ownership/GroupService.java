package io.radishspindle.ownership;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.placement.PlacementPolicy;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;

/**
 * All groups of this VM's data centre, owned by this VM or not. Belongs to one event loop; the returned futures never
 * fail.
 */
public interface GroupService {
    /** Accepts a job into a group that this VM owns. Completes after the journal write. */
    Future<Either<Failure, JobStatus>> submit(String group, JobSpec job);

    /** Cancels a job of a group that this VM owns; {@code NOT_FOUND} if none has it. */
    Future<Either<Failure, JobStatus>> cancel(String jobId, String actor);

    /** State of a job of a group that this VM owns; {@code NOT_FOUND} if none has it. */
    Either<Failure, JobStatus> status(String jobId);

    List<JobStatus> statuses(int limit);

    /** Groups that this VM owns, for heartbeats. */
    List<GroupSummary> summaries();

    /** Takes a new view; liveness of peers and the list of workers decide about takeovers. */
    void update(MembershipView view);

    void update(PlacementPolicy policy);

    /** Gives up all groups for a graceful shutdown. */
    Future<Void> release();
}
