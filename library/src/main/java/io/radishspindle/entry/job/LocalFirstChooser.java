package io.radishspindle.entry.job;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Prefers groups where the job fits now, then the own data centre, then short queues. Locality comes before queue
 * length, because traffic between regions is billed by volume; a group without room loses to one with room, because
 * waiting time weighs more than the few hundred bytes of a submission. Stateless and thread-safe.
 */
final class LocalFirstChooser implements GroupChooser {
    @Override
    public Either<Failure, List<String>> choose(MembershipView view, JobSpec job) {
        Collection<MembershipView.OwnedGroup> groups = view.groupOwners().values();
        List<GroupSummary> ready = groups.stream()
                .map(MembershipView.OwnedGroup::summary)
                .filter(GroupSummary::ready)
                .toList();
        if (ready.isEmpty()) {
            return Either.left(NoGroup.noReadyGroup("job.choose-group"));
        }
        List<String> fitting = ready.stream()
                .filter(group -> canEverRun(group, job))
                .sorted(preference(view.self().dataCentre(), job))
                .map(GroupSummary::group)
                .toList();
        if (fitting.isEmpty()) {
            Resources largest = ready.stream()
                    .map(GroupSummary::largestWorker)
                    .max(Comparator.comparingLong(Resources::memoryMib))
                    .orElse(Resources.NONE);
            return Either.left(NoGroup.neverFits(job.perTask(), job.tasks(), largest));
        }
        return Either.right(fitting);
    }

    private static boolean canEverRun(GroupSummary group, JobSpec job) {
        return job.perTask().fitsIn(group.largestWorker()) && together(job).fitsIn(group.total());
    }

    private static Comparator<GroupSummary> preference(String localDataCentre, JobSpec job) {
        return Comparator.<GroupSummary, Boolean>comparing(
                        group -> !(group.queuedTasks() == 0 && together(job).fitsIn(group.free())))
                .thenComparing(group -> !group.group().startsWith(localDataCentre + "/"))
                .thenComparing(GroupSummary::queuedTasks)
                .thenComparing(group -> -group.free().milliCores())
                .thenComparing(GroupSummary::group);
    }

    /** Resources that must be free at the same time: those of the whole gang, otherwise of one task. */
    private static Resources together(JobSpec job) {
        return job.jobClass() == JobClass.ALL_AT_ONCE ? job.perTask().times(job.tasks()) : job.perTask();
    }
}
