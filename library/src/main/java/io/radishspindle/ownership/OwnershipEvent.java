package io.radishspindle.ownership;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.placement.PlacementPolicy;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import java.util.List;

/** What happens to the groups of one data centre at one entry VM. Events are immutable and thread-safe. */
public sealed interface OwnershipEvent {
    /** Time has passed; sent every 50 ms. */
    record Tick() implements OwnershipEvent {}

    /** Membership changed. */
    record ViewChanged(MembershipView view) implements OwnershipEvent {}

    /** The placement policy changed. */
    record PolicyUpdated(PlacementPolicy policy) implements OwnershipEvent {}

    /** Answer to {@link OwnershipAction.ReadKey}. */
    record KeyRead(long call, Either<Failure, Store.Entry> result) implements OwnershipEvent {}

    /** Answer to {@link OwnershipAction.ListKeys}. */
    record KeysListed(long call, Either<Failure, List<Store.Entry>> result) implements OwnershipEvent {}

    /** Answer to {@link OwnershipAction.WriteKey}. */
    record KeyWritten(long call, Either<Failure, Long> result) implements OwnershipEvent {}

    /**
     * Answer to {@link OwnershipAction.SendControl}.
     *
     * @param sentAtMs the sender's monotonic clock, read immediately before sending
     */
    record ControlAnswered(long call, long sentAtMs, Either<Failure, WorkerClient.ControlReply> result)
            implements OwnershipEvent {}

    /**
     * A submitter wants a job accepted.
     *
     * @param epoch the only epoch in which the job may be accepted; 0 for any
     */
    record SubmitRequested(long request, String group, long epoch, JobSpec job) implements OwnershipEvent {}

    /** Somebody wants a job cancelled. */
    record CancelRequested(long request, String jobId, String actor) implements OwnershipEvent {}

    /** The VM shuts down and gives up its groups. */
    record ReleaseRequested() implements OwnershipEvent {}
}
