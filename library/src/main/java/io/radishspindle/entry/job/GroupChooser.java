package io.radishspindle.entry.job;

import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.vavr.control.Either;
import java.util.List;

/** Orders the groups to which a job may be submitted. Implementations are stateless and thread-safe. */
interface GroupChooser {
    /**
     * Groups in order of preference, at least one.
     *
     * @param job its id is not used
     */
    Either<Failure, List<String>> choose(MembershipView view, JobSpec job);
}
