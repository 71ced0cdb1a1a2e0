package io.radishspindle.entry.job;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.ownership.GroupService;
import io.radishspindle.platform.Clock;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.CancelJob;
import io.radishspindle.protocol.message.JobStatusReply;
import io.radishspindle.protocol.message.ListJobs;
import io.radishspindle.protocol.message.ListJobsReply;
import io.radishspindle.protocol.message.QueryJob;
import io.radishspindle.protocol.message.SubmitJob;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Passes jobs and queries to the owner of their group, on this VM or on another. Belongs to one event loop; the
 * returned futures never fail.
 *
 * <p>Invariant: a job is offered to another group only if the group before has certainly not accepted it.
 */
public final class JobRouter {
    /** Covers a store write of an owner in another region; the submitter waits no longer. */
    private static final long SUBMIT_TIMEOUT_MS = 5_000;

    private static final long QUERY_TIMEOUT_MS = 1_000;

    /** A takeover with one worker missing takes the detection (1 s), a control lease (3 s) and some round trips. */
    private static final long RESOLVE_MS = 8_000;

    /** Bounds the time that a submission takes when several groups are between owners. */
    private static final int MAX_GROUPS_TRIED = 3;

    private final String selfVm;
    private final Supplier<MembershipView> view;
    private final GroupService groups;
    private final PeerMessenger peers;
    private final Clock clock;
    private final Supplier<Future<Void>> delay;
    private final GroupChooser chooser = new LocalFirstChooser();

    /** @param delay yields a future that completes after the pause between two queries */
    public JobRouter(
            String selfVm,
            Supplier<MembershipView> view,
            GroupService groups,
            PeerMessenger peers,
            Clock clock,
            Supplier<Future<Void>> delay) {
        this.clock = clock;
        this.delay = delay;
        this.selfVm = selfVm;
        this.view = view;
        this.groups = groups;
        this.peers = peers;
    }

    /** Registers the handlers for submissions and queries of other entry VMs. */
    public void start() {
        peers.handle(
                SubmitJob.class,
                (from, message) -> reply(groups.submit(message.group(), message.epoch(), message.job())));
        peers.handle(
                QueryJob.class,
                (from, message) -> reply(
                        Future.succeededFuture(groups.status(message.group(), message.jobId(), message.afterEpoch()))));
        peers.handle(CancelJob.class, (from, message) -> reply(groups.cancel(message.jobId(), message.actor())));
        peers.handle(
                ListJobs.class,
                (from, message) ->
                        Future.succeededFuture(Either.right(new ListJobsReply(groups.statuses(message.limit())))));
    }

    /** What all reachable owners know of their jobs; {@code missingGroups} have no owner that answered. */
    public record JobList(List<JobStatus> jobs, List<String> missingGroups) {}

    /**
     * Submits a job to the best group.
     *
     * @param spec makes the specification for a job id
     * @param suffix last part of the job id, unique within the cell
     */
    Future<Either<Failure, JobStatus>> submit(Function<String, JobSpec> spec, String suffix) {
        Either<Failure, List<String>> candidates = chooser.choose(view.get(), spec.apply(suffix));
        if (candidates.isLeft()) {
            return Future.succeededFuture(Either.left(candidates.getLeft()));
        }
        return submitToFirst(candidates.get(), 0, spec, suffix);
    }

    private Future<Either<Failure, JobStatus>> submitToFirst(
            List<String> candidates, int index, Function<String, JobSpec> spec, String suffix) {
        String group = candidates.get(index);
        JobSpec job = spec.apply(JobIds.create(group, suffix));
        long epoch = epochOf(group);
        return atOwner(
                        group,
                        "job.submit",
                        () -> groups.submit(group, epoch, job),
                        new SubmitJob(group, epoch, job),
                        SUBMIT_TIMEOUT_MS)
                .compose(result -> isUnknown(result)
                        ? resolve(group, epoch, job.id(), result.getLeft(), clock.nowMs() + RESOLVE_MS)
                        : Future.succeededFuture(result))
                .compose(result -> {
                    boolean last = index + 1 >= Math.min(candidates.size(), MAX_GROUPS_TRIED);
                    if (last || !mayTryElsewhere(result)) {
                        return Future.succeededFuture(result);
                    }
                    return submitToFirst(candidates, index + 1, spec, suffix);
                });
    }

    private static boolean isUnknown(Either<Failure, JobStatus> result) {
        return result.isLeft() && !result.getLeft().notRun();
    }

    /** Asks the owners of later epochs, whose journal tells for certain, until one answers or the deadline passes. */
    private Future<Either<Failure, JobStatus>> resolve(
            String group, long epoch, String jobId, Failure unknown, long deadlineAtMs) {
        return query(group, jobId, epoch).compose(found -> {
            if (found.isRight()) {
                return Future.succeededFuture(found);
            }
            if (found.getLeft().code() == ErrorCode.NOT_FOUND) {
                return Future.succeededFuture(Either.left(NoGroup.noOwner("job.submit", group)));
            }
            if (clock.nowMs() >= deadlineAtMs) {
                return Future.succeededFuture(Either.left(withJobId(unknown, jobId)));
            }
            return delay.get().compose(done -> resolve(group, epoch, jobId, unknown, deadlineAtMs));
        });
    }

    private long epochOf(String group) {
        MembershipView.OwnedGroup owned = view.get().groupOwners().get(group);
        return owned == null ? 0 : owned.summary().epoch();
    }

    private static boolean mayTryElsewhere(Either<Failure, JobStatus> result) {
        return result.isLeft()
                && result.getLeft().notRun()
                && result.getLeft().code() != ErrorCode.INVALID_REQUEST
                && result.getLeft().code() != ErrorCode.STORE_UNAVAILABLE;
    }

    /** An unknown outcome names the job id, with which the submitter can ask later. */
    private static Failure withJobId(Failure failure, String jobId) {
        return new Failure(
                failure.code(),
                failure.step(),
                failure.peer(),
                failure.message() + "; it is unknown whether job " + jobId + " was accepted",
                false,
                failure.retryAfterMs());
    }

    Future<Either<Failure, JobStatus>> status(String jobId) {
        return JobIds.groupOf(jobId)
                .map(group -> query(group, jobId, 0))
                .orElseGet(() -> Future.succeededFuture(Either.left(NoGroup.unknownJob(jobId))));
    }

    private Future<Either<Failure, JobStatus>> query(String group, String jobId, long afterEpoch) {
        return atOwner(
                group,
                "job.query",
                () -> Future.succeededFuture(groups.status(group, jobId, afterEpoch)),
                new QueryJob(group, jobId, afterEpoch),
                QUERY_TIMEOUT_MS);
    }

    Future<Either<Failure, JobStatus>> cancel(String jobId, String actor) {
        return JobIds.groupOf(jobId)
                .map(group -> atOwner(
                        group,
                        "job.cancel",
                        () -> groups.cancel(jobId, actor),
                        new CancelJob(jobId, actor),
                        SUBMIT_TIMEOUT_MS))
                .orElseGet(() -> Future.succeededFuture(Either.left(NoGroup.unknownJob(jobId))));
    }

    /** Asks all owners for at most {@code limit} jobs each. */
    Future<JobList> list(int limit) {
        var owners = view.get().groupOwners();
        var ownerVms = new TreeSet<String>();
        owners.values().forEach(owned -> ownerVms.add(owned.ownerVm()));
        List<Future<Either<String, List<JobStatus>>>> answers = new ArrayList<>();
        for (String vm : ownerVms) {
            answers.add(listAt(vm, limit));
        }
        return Future.all(answers).map(all -> {
            List<JobStatus> jobs = new ArrayList<>();
            var silentVms = new TreeSet<String>();
            for (Future<Either<String, List<JobStatus>>> answer : answers) {
                answer.result()
                        .peek(found -> found.forEach(job -> jobs.add(withGroupOfId(job))))
                        .peekLeft(silentVms::add);
            }
            List<String> missing = owners.entrySet().stream()
                    .filter(e -> silentVms.contains(e.getValue().ownerVm()))
                    .map(e -> e.getKey())
                    .sorted()
                    .toList();
            return new JobList(jobs, missing);
        });
    }

    /** The placement core of a group does not know the group's name; the job id does. */
    private static JobStatus withGroupOfId(JobStatus job) {
        return JobIds.groupOf(job.jobId()).map(job::withGroup).orElse(job);
    }

    private Future<Either<String, List<JobStatus>>> listAt(String vm, int limit) {
        if (vm.equals(selfVm)) {
            return Future.succeededFuture(Either.right(groups.statuses(limit)));
        }
        return peers.request(vm, new ListJobs(limit), ListJobsReply.class, QUERY_TIMEOUT_MS)
                .map(result -> result.map(ListJobsReply::jobs).mapLeft(failure -> vm));
    }

    private Future<Either<Failure, JobStatus>> atOwner(
            String group,
            String step,
            Supplier<Future<Either<Failure, JobStatus>>> local,
            PeerMessage remote,
            long timeoutMs) {
        MembershipView.OwnedGroup owned = view.get().groupOwners().get(group);
        if (owned == null) {
            return Future.succeededFuture(Either.left(NoGroup.noOwner(step, group)));
        }
        if (owned.ownerVm().equals(selfVm)) {
            return local.get().map(result -> result.map(status -> status.withGroup(group)));
        }
        return peers.request(owned.ownerVm(), remote, JobStatusReply.class, timeoutMs)
                .map(result -> result.map(reply -> reply.status().withGroup(group)));
    }

    private static Future<Either<Failure, PeerMessage>> reply(Future<Either<Failure, JobStatus>> status) {
        return status.map(result -> result.map(JobStatusReply::new));
    }
}
