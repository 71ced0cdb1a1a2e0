package io.radishspindle.ownership;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.placement.PlacementEvent;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tinylog.Logger;

/**
 * Jobs of a group at its owner: connects submitters, journal and placement core. Not thread-safe.
 *
 * <p>Invariants: placement learns of a job and of a cancellation only after they are durable; a worker may forget a
 * finished attempt only after its end is durable or needs no record.
 */
final class JobCoordinator {
    /** Largest accepted job in bytes, far under the store's limit for a value. */
    private static final int MAX_JOB_BYTES = 64 * 1024;

    private static final long RETRY_AFTER_MS = 1_000;

    /** Commands to workers. */
    interface Commands {
        /** Returns false if the worker does not take commands now. */
        boolean start(String workerId, WorkerClient.Start start);

        void order(String workerId, WorkerClient.Order order);

        void acknowledge(String workerId, TaskAttempt attempt);
    }

    private record Waiting(List<Long> requests, long sinceMs) {}

    private final Effects fx;
    private final String group;
    private final Journal journal;
    private final GroupPlacement placement;
    private final Commands commands;
    private final Map<String, Waiting> submissions = new HashMap<>();
    private final Deque<PlacementEvent> events = new ArrayDeque<>();
    private boolean handling;
    private boolean closed;

    JobCoordinator(Effects fx, String group, Journal journal, GroupPlacement placement, Commands commands) {
        this.fx = fx;
        this.group = group;
        this.journal = journal;
        this.placement = placement;
        this.commands = commands;
    }

    GroupPlacement placement() {
        return placement;
    }

    /** Feeds the jobs that the journal knows. */
    void recover(long openUntilMs) {
        for (JobTable.Job job : journal.jobs().active()) {
            feed(new PlacementEvent.JobRecovered(
                    job.spec,
                    job.completed.stream().boxed().collect(java.util.stream.Collectors.toSet()),
                    job.failedAttempts,
                    openUntilMs));
        }
    }

    /** Hands an event to placement and carries out what it wants. Events caused by the actions follow in order. */
    void feed(PlacementEvent event) {
        events.add(event);
        if (handling || closed) {
            return;
        }
        handling = true;
        try {
            while (!events.isEmpty()) {
                for (PlacementAction action : placement.handle(fx.now(), events.remove())) {
                    perform(action);
                }
            }
        } finally {
            handling = false;
        }
    }

    /** Whether a report about this attempt needs no further handling: its job or task has ended durably. */
    boolean isSettled(TaskAttempt attempt) {
        Optional<JobTable.Job> job = journal.jobs().find(attempt.task().jobId());
        return job.isEmpty()
                || !job.get().active()
                || job.get().completed.get(attempt.task().index());
    }

    void submit(long request, JobSpec job) {
        Optional<JobTable.Job> known = journal.jobs().find(job.id());
        if (known.isPresent()) {
            fx.answer(request, Either.right(status(known.get())));
            return;
        }
        Waiting waiting = submissions.get(job.id());
        if (waiting != null) {
            waiting.requests().add(request);
            return;
        }
        Optional<Failure> refusal = refusal(job);
        if (refusal.isPresent()) {
            fx.answer(request, Either.left(refusal.get()));
            return;
        }
        submissions.put(job.id(), new Waiting(new ArrayList<>(List.of(request)), fx.now()));
        journal.append(JournalEntry.accepted(job), outcome -> submitted(job, outcome));
    }

    void cancel(long request, String jobId) {
        Optional<JobTable.Job> known = journal.jobs().find(jobId);
        if (known.isEmpty()) {
            fx.answer(
                    request,
                    Either.left(Failure.rejected(
                            ErrorCode.NOT_FOUND, "group.cancel", "group " + group + " has no job " + jobId)));
        } else if (!known.get().active()) {
            fx.answer(request, Either.right(status(known.get())));
        } else if (fx.storeDown()) {
            fx.answer(request, Either.left(storeUnavailable("group.cancel")));
        } else {
            journal.append(JournalEntry.cancelled(jobId), outcome -> cancelled(request, jobId, outcome));
        }
    }

    Optional<JobStatus> status(String jobId) {
        return journal.jobs().find(jobId).map(this::status);
    }

    List<JobStatus> statuses(int limit) {
        return journal.jobs().all().stream().limit(limit).map(this::status).toList();
    }

    /** Answers submissions whose journal write is undecided for too long; the job may still be accepted. */
    void tick() {
        submissions.forEach((jobId, waiting) -> {
            if (fx.now() - waiting.sinceMs() > OwnershipTiming.SUBMIT_TIMEOUT_MS) {
                answerAll(waiting.requests(), Either.left(unknown("group.submit", "job " + jobId)));
                waiting.requests().clear();
            }
        });
    }

    /** Stops; to be called after the journal has reported on all entries. */
    void close() {
        closed = true;
        events.clear();
    }

    static Failure storeUnavailable(String step) {
        return Failure.retryable(
                ErrorCode.STORE_UNAVAILABLE,
                step,
                "store",
                "the store does not answer; nothing was changed",
                RETRY_AFTER_MS);
    }

    private JobStatus status(JobTable.Job job) {
        return placement.status(fx.now(), job.spec.id()).orElseGet(() -> job.status(group));
    }

    private Optional<Failure> refusal(JobSpec job) {
        Either<Failure, JobSpec> checked = placement.check(job);
        if (checked.isLeft()) {
            return Optional.of(checked.getLeft());
        }
        if (fx.storeDown()) {
            return Optional.of(storeUnavailable("group.submit"));
        }
        int bytes = RecordCodec.encode(job).length;
        if (bytes > MAX_JOB_BYTES) {
            return Optional.of(Failure.rejected(
                    ErrorCode.INVALID_REQUEST,
                    "group.submit",
                    "job " + job.id() + " has " + bytes + " bytes, more than " + MAX_JOB_BYTES));
        }
        if (!journal.hasRoomFor(bytes)) {
            return Optional.of(Failure.retryable(
                    ErrorCode.OVERLOADED,
                    "group.submit",
                    "",
                    "group " + group + " holds too many jobs",
                    RETRY_AFTER_MS));
        }
        return Optional.empty();
    }

    private void submitted(JobSpec job, Journal.Outcome outcome) {
        Waiting waiting = submissions.remove(job.id());
        List<Long> requests = waiting == null ? List.of() : waiting.requests();
        switch (outcome) {
            case DURABLE -> {
                feed(new PlacementEvent.JobAccepted(job));
                journal.jobs().find(job.id()).ifPresent(found -> answerAll(requests, Either.right(status(found))));
            }
            case NOT_WRITTEN -> answerAll(requests, Either.left(notOwner("group.submit", group)));
            case UNKNOWN -> answerAll(requests, Either.left(unknown("group.submit", "job " + job.id())));
        }
    }

    private void cancelled(long request, String jobId, Journal.Outcome outcome) {
        switch (outcome) {
            case DURABLE -> {
                feed(new PlacementEvent.JobCancelled(jobId));
                journal.jobs().find(jobId).ifPresent(found -> fx.answer(request, Either.right(status(found))));
            }
            case NOT_WRITTEN -> fx.answer(request, Either.left(notOwner("group.cancel", group)));
            case UNKNOWN -> fx.answer(request, Either.left(unknown("group.cancel", "job " + jobId)));
        }
    }

    private void answerAll(List<Long> requests, Either<Failure, JobStatus> result) {
        requests.forEach(request -> fx.answer(request, result));
    }

    static Failure notOwner(String step, String group) {
        return Failure.retryable(
                ErrorCode.NO_OWNER, step, "", "this VM does not own group " + group + " now", RETRY_AFTER_MS);
    }

    private static Failure unknown(String step, String what) {
        return Failure.outcomeUnknown(step, "store", "it is not known whether the journal has " + what);
    }

    private void perform(PlacementAction action) {
        if (action instanceof PlacementAction.StartTask start) {
            startTask(start);
        } else if (action instanceof PlacementAction.CommandTask command) {
            commands.order(command.workerId(), new WorkerClient.Order(command.attempt(), command.command()));
        } else if (action instanceof PlacementAction.RecordAttempt ended) {
            recordAttempt(ended);
        } else if (action instanceof PlacementAction.RecordJobEnd end) {
            JournalEntry entry = JournalEntry.ended(end.jobId(), end.phase().name(), end.explanation());
            journal.append(
                    entry,
                    outcome -> Logger.debug(
                            "event=job-end group={} job={} phase={} journal={}",
                            group,
                            end.jobId(),
                            end.phase(),
                            outcome));
        } else if (action instanceof PlacementAction.WorkerQuarantined quarantined) {
            Logger.info(
                    "event=worker-quarantined group={} worker={} reason=\"{}\"",
                    group,
                    quarantined.workerId(),
                    quarantined.reason());
        }
    }

    private void startTask(PlacementAction.StartTask start) {
        TaskAttempt attempt = start.attempt();
        Optional<JobTable.Job> job = journal.jobs().find(attempt.task().jobId());
        boolean sent = job.isPresent()
                && commands.start(
                        start.workerId(),
                        new WorkerClient.Start(
                                attempt,
                                start.reserved(),
                                runMs(job.get().spec),
                                job.get().spec.parameters()));
        if (!sent) {
            feed(new PlacementEvent.StartRefused(attempt, start.workerId(), "worker takes no commands now"));
        }
    }

    /** A service runs until it is stopped, which the worker's interface expresses as 0. */
    private static long runMs(JobSpec spec) {
        return spec.jobClass() == JobClass.SERVICE ? 0 : spec.expectedRunMs();
    }

    private void recordAttempt(PlacementAction.RecordAttempt ended) {
        TaskAttempt attempt = ended.attempt();
        String jobId = attempt.task().jobId();
        int index = attempt.task().index();
        if (ended.taskCompleted()) {
            journal.append(JournalEntry.completed(jobId, index), outcome -> acknowledgeIfDurable(ended, outcome));
        } else if (ended.outcome() == TaskOutcome.FAILED) {
            journal.append(JournalEntry.failed(jobId, index), outcome -> acknowledgeIfDurable(ended, outcome));
        } else if (ended.outcome() != TaskOutcome.SUCCEEDED || isSettled(attempt) || isService(jobId)) {
            commands.acknowledge(ended.workerId(), attempt);
        }
        // Otherwise a further attempt was ordered before this success became known. It may never start, so that the
        // worker has to keep the success for the next owner.
    }

    private boolean isService(String jobId) {
        return journal.jobs()
                .find(jobId)
                .map(job -> job.spec.jobClass() == JobClass.SERVICE)
                .orElse(false);
    }

    private void acknowledgeIfDurable(PlacementAction.RecordAttempt ended, Journal.Outcome outcome) {
        if (outcome == Journal.Outcome.DURABLE) {
            commands.acknowledge(ended.workerId(), ended.attempt());
        }
    }
}
