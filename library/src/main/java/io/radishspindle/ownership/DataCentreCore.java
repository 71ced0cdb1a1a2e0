package io.radishspindle.ownership;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobStatus;
import io.radishspindle.placement.GroupPlacement;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Decision core for the groups of one data centre at one of its entry VMs. Deterministic: it does no I/O and reads no
 * clock. Not thread-safe; belongs to one event loop.
 */
public final class DataCentreCore {
    private final Effects fx;
    private final String dataCentre;
    private final AssignmentKeeper assignment;
    private final Map<String, GroupCore> groups = new TreeMap<>();
    private final List<GroupCore> byIndex = new ArrayList<>();
    private @Nullable MembershipView view;

    /**
     * @param firstCall call numbers start above it; must exceed all numbers of an earlier run of a VM with this id
     * @param placements makes a placement core from a seed
     */
    public DataCentreCore(
            String self,
            String dataCentre,
            int groupCount,
            OwnershipTiming timing,
            long firstCall,
            LongFunction<GroupPlacement> placements,
            MetricRegistry metrics) {
        this.fx = new Effects(self, firstCall, new OwnershipMetrics(metrics));
        this.dataCentre = dataCentre;
        this.assignment = new AssignmentKeeper(fx, dataCentre, groupCount);
        for (int i = 0; i < groupCount; i++) {
            GroupCore core = new GroupCore(fx, timing, dataCentre, "g" + i, placements);
            groups.put(core.group(), core);
            byIndex.add(core);
        }
    }

    /** Handles an event at {@code nowMs} of the monotonic clock. */
    public List<OwnershipAction> handle(long nowMs, OwnershipEvent event) {
        fx.setNow(nowMs);
        dispatch(event);
        byIndex.forEach(GroupCore::flush);
        return fx.drain();
    }

    /** Groups that this VM owns, for heartbeats. */
    public List<GroupSummary> summaries() {
        return byIndex.stream().flatMap(core -> core.summary().stream()).toList();
    }

    /** See {@link GroupService#status}. */
    public Either<Failure, JobStatus> status(String group, String jobId, long afterEpoch) {
        GroupCore core = groups.get(group);
        Optional<Owner> owner = core == null ? Optional.empty() : core.serving();
        if (owner.isEmpty()) {
            return Either.left(JobCoordinator.notOwner("group.job", group));
        }
        Optional<JobStatus> found = owner.get().status(jobId);
        if (found.isPresent()) {
            return Either.right(found.get());
        }
        boolean certain = owner.get().record().epoch() > afterEpoch;
        return Either.left(certain ? notFound(jobId) : JobCoordinator.notOwner("group.job", group));
    }

    public List<JobStatus> statuses(int limit) {
        return byIndex.stream()
                .flatMap(core -> core.serving().stream())
                .flatMap(owner -> owner.statuses(limit).stream())
                .limit(limit)
                .toList();
    }

    /** Whether all groups were given up after {@link OwnershipEvent.ReleaseRequested}. */
    public boolean isReleased() {
        return byIndex.stream().allMatch(GroupCore::isReleased);
    }

    private void dispatch(OwnershipEvent event) {
        if (event instanceof OwnershipEvent.Tick) {
            tick();
        } else if (event instanceof OwnershipEvent.ControlAnswered answered) {
            fx.completeControl(answered.call(), answered.sentAtMs(), answered.result());
        } else if (event instanceof OwnershipEvent.KeyRead read) {
            fx.completeRead(read.call(), read.result());
        } else if (event instanceof OwnershipEvent.KeysListed listed) {
            fx.completeList(listed.call(), listed.result());
        } else if (event instanceof OwnershipEvent.KeyWritten written) {
            fx.completeWrite(written.call(), written.result());
        } else if (event instanceof OwnershipEvent.ViewChanged changed) {
            view = changed.view();
            tick();
        } else if (event instanceof OwnershipEvent.PolicyUpdated updated) {
            byIndex.forEach(core -> core.update(updated.policy()));
        } else if (event instanceof OwnershipEvent.SubmitRequested submit) {
            submit(submit);
        } else if (event instanceof OwnershipEvent.CancelRequested cancel) {
            cancel(cancel);
        } else if (event instanceof OwnershipEvent.ReleaseRequested) {
            byIndex.forEach(GroupCore::release);
        }
    }

    private void tick() {
        MembershipView now = view;
        if (now != null) {
            assignment.tick(now);
            for (int i = 0; i < byIndex.size(); i++) {
                byIndex.get(i).update(now, assignment.workersOf(i));
            }
        }
        byIndex.forEach(GroupCore::tick);
    }

    private void submit(OwnershipEvent.SubmitRequested submit) {
        GroupCore core = groups.get(submit.group());
        if (core == null) {
            String message = "data centre " + dataCentre + " has no group " + submit.group();
            fx.answer(submit.request(), Either.left(Failure.rejected(ErrorCode.NOT_FOUND, "group.submit", message)));
            return;
        }
        core.submit(submit.request(), submit.epoch(), submit.job());
    }

    private void cancel(OwnershipEvent.CancelRequested cancel) {
        for (GroupCore core : byIndex) {
            Optional<Owner> owner = core.serving();
            if (owner.isPresent() && owner.get().status(cancel.jobId()).isPresent()) {
                owner.get().cancel(cancel.request(), cancel.jobId());
                return;
            }
        }
        fx.answer(cancel.request(), Either.left(notFound(cancel.jobId())));
    }

    static Failure notFound(String jobId) {
        return Failure.rejected(ErrorCode.NOT_FOUND, "group.job", "no group of this VM has job " + jobId);
    }
}
