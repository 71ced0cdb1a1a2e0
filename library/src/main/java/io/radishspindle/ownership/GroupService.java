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
    /**
     * Accepts a job into a group that this VM owns. Completes after the journal write.
     *
     * @param epoch the only epoch in which the job may be accepted, so that a later owner can tell for certain
     *     whether it was
     */
    Future<Either<Failure, JobStatus>> submit(String group, long epoch, JobSpec job);

    /** Cancels a job of a group that this VM owns; {@code NOT_FOUND} if none has it. */
    Future<Either<Failure, JobStatus>> cancel(String jobId, String actor);

    /**
     * State of a job. {@code NOT_FOUND} means that this VM serves the group in an epoch above {@code afterEpoch}
     * and its journal has no such job; since it has fenced the journals of all earlier epochs, the job was not and
     * will not be accepted in them. {@code NO_OWNER} if this VM can't tell.
     */
    Either<Failure, JobStatus> status(String group, String jobId, long afterEpoch);

    List<JobStatus> statuses(int limit);

    /** Groups that this VM owns, for heartbeats. */
    List<GroupSummary> summaries();

    /** Takes a new view; liveness of peers and the list of workers decide about takeovers. */
    void update(MembershipView view);

    void update(PlacementPolicy policy);

    /** Gives up all groups for a graceful shutdown. */
    Future<Void> release();
}
