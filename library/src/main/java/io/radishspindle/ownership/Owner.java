package io.radishspindle.ownership;

import io.radishspindle.membership.GroupSummary;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementEvent;
import io.radishspindle.placement.PlacementPolicy;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.WorkerClient;
import io.radishspindle.platform.WorkerClient.ControlReply;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * A VM that holds an epoch of a group. Not thread-safe; one object per epoch, never revived.
 *
 * <p>Invariants: renewals, starts and stops are sent only while a majority of every worker set that may be in force
 * has answered messages of this epoch that were sent less than a control lease ago; once that authority has been
 * gained and lost again, the object ends, and the VM must raise the epoch to own the group again.
 */
final class Owner implements GroupWorkers.Listener, JobCoordinator.Commands {
    /** Told that the object has ended. */
    interface Listener {
        void ended(Owner owner, End end);
    }

    /** Why the object has ended. */
    enum End {
        AUTHORITY_LAPSED,
        /** Another owner has a higher epoch. */
        SUPERSEDED
    }

    private final Effects fx;
    private final OwnershipTiming timing;
    private final String group;
    private final OwnershipRecord record;
    private final Listener listener;
    private final GroupWorkers workers;
    private final Set<TaskAttempt> reported = new HashSet<>();
    private final Set<String> unreachable = new HashSet<>();
    private final Set<String> lost = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();
    private Set<String> leavingByView = Set.of();
    private final ClaimReplies firstReplies = new ClaimReplies();
    private final Journal journal;
    private final JobCoordinator coordinator;
    private long majorityAtMs = Quorum.NEVER;
    private boolean serving;
    private boolean mayStart;
    private boolean stopping;
    private boolean ended;

    /** @param confirmedAtMs when the write of the record was sent */
    Owner(
            Effects fx,
            OwnershipTiming timing,
            String group,
            OwnershipRecord record,
            long confirmedAtMs,
            GroupPlacement placement,
            Listener listener) {
        this.fx = fx;
        this.timing = timing;
        this.group = group;
        this.record = record;
        this.listener = listener;
        workers = new GroupWorkers(fx, timing, group, record, confirmedAtMs, this);
        journal = new Journal(
                fx,
                "group/" + group + "/",
                record.epoch(),
                this::advance,
                () -> end(End.SUPERSEDED, "journal has a later owner"));
        coordinator = new JobCoordinator(fx, group, journal, placement, this);
    }

    static Owner create(
            Effects fx,
            OwnershipTiming timing,
            String group,
            OwnershipRecord record,
            long confirmedAtMs,
            LongFunction<GroupPlacement> placements,
            PlacementPolicy policy,
            Listener listener) {
        GroupPlacement placement = placements.apply(record.epoch() * 31 + group.hashCode());
        Owner owner = new Owner(fx, timing, group, record, confirmedAtMs, placement, listener);
        owner.coordinator.feed(new PlacementEvent.PolicyChanged(policy));
        owner.journal.start();
        owner.tick();
        return owner;
    }

    OwnershipRecord record() {
        return record;
    }

    boolean isServing() {
        return serving && !ended && !stopping;
    }

    boolean hasAuthority() {
        return fx.now() <= workers.authorityUntilMs();
    }

    boolean isJournalIdle() {
        return journal.unjournalled() == 0;
    }

    GroupWorkers workers() {
        return workers;
    }

    /** Workers that may leave the record: they were lost or silent for long. */
    Set<String> longLost() {
        return workers.longLost(majorityAtMs);
    }

    /** Workers that leave by the VM list or are drained by the configuration; those that are no longer named return. */
    void noteLeaving(Set<String> workerIds) {
        Set<String> before = leavingByView;
        leavingByView = Set.copyOf(workerIds);
        if (!serving) {
            return;
        }
        workers.forEach((id, link) -> {
            if (workerIds.contains(id)) {
                markLeaving(id);
            } else if (before.contains(id)) {
                link.claimAgain();
            }
        });
    }

    private void markLeaving(String workerId) {
        if (leaving.add(workerId)) {
            coordinator.feed(new PlacementEvent.WorkerLeaving(workerId));
        }
    }

    void tick() {
        if (ended) {
            return;
        }
        noteMajority();
        long authorityUntil = stopping ? Quorum.NEVER : workers.authorityUntilMs();
        if (majorityAtMs != Quorum.NEVER && !stopping && fx.now() > authorityUntil) {
            fx.metrics().authorityLost();
            end(End.AUTHORITY_LAPSED, "no majority of workers answers");
            return;
        }
        journal.tick();
        coordinator.tick();
        if (ended) {
            return;
        }
        noteWorkers();
        advance();
        if (serving) {
            updateMayStart();
            coordinator.feed(new PlacementEvent.Tick());
        }
        workers.send(authorityUntil);
    }

    /** Sends what the handled event caused. */
    void flush() {
        if (!ended && !stopping) {
            workers.send(workers.authorityUntilMs());
        }
    }

    void submit(long request, JobSpec job) {
        coordinator.submit(request, job);
    }

    void cancel(long request, String jobId) {
        coordinator.cancel(request, jobId);
    }

    Optional<JobStatus> status(String jobId) {
        return coordinator.status(jobId);
    }

    List<JobStatus> statuses(int limit) {
        return coordinator.statuses(limit);
    }

    void update(PlacementPolicy policy) {
        coordinator.feed(new PlacementEvent.PolicyChanged(policy));
    }

    GroupSummary summary() {
        if (!serving) {
            Resources none = Resources.NONE;
            return new GroupSummary(group, record.epoch(), none, none, none, 0, false);
        }
        GroupPlacement.Totals totals = coordinator.placement().totals();
        return new GroupSummary(
                group,
                record.epoch(),
                totals.capacity(),
                totals.free(),
                totals.largestWorker(),
                totals.queuedTasks(),
                isServing());
    }

    /** Stops all commands before a release; unacknowledged finishes stay with the workers. */
    void stop() {
        stopping = true;
        workers.close();
    }

    /** Ends without telling the listener. */
    void close() {
        if (ended) {
            return;
        }
        ended = true;
        workers.close();
        journal.close();
        coordinator.close();
    }

    @Override
    public boolean start(String workerId, WorkerClient.Start start) {
        WorkerLink link = workers.find(workerId);
        if (link == null || !link.isReady() || !mayStart) {
            return false;
        }
        link.start(start);
        return true;
    }

    @Override
    public void order(String workerId, WorkerClient.Order order) {
        WorkerLink link = workers.find(workerId);
        if (link != null) {
            link.order(order);
        }
    }

    /**
     * Tells the worker that it may forget an attempt, but only if it has reported its end. An attempt that was
     * given up with a lost worker may have succeeded there; a worker that forgot it could not say so when it
     * returns.
     */
    @Override
    public void acknowledge(String workerId, TaskAttempt attempt) {
        if (!reported.remove(attempt)) {
            return;
        }
        WorkerLink link = workers.find(workerId);
        if (link != null) {
            link.acknowledge(attempt);
        }
    }

    @Override
    public void claimed(WorkerLink link, ControlReply reply, Set<TaskAttempt> neverStarted) {
        unreachable.remove(link.worker.id());
        lost.remove(link.worker.id());
        leaving.remove(link.worker.id());
        if (!serving) {
            firstReplies.put(link.worker.id(), reply);
            noteMajority();
            advance();
            return;
        }
        neverStarted.forEach(attempt ->
                coordinator.feed(new PlacementEvent.StartRefused(attempt, link.worker.id(), "start did not arrive")));
        introduce(link, reply);
    }

    @Override
    public void reported(WorkerLink link, ControlReply reply) {
        if (!serving) {
            return;
        }
        for (WorkerClient.Refused refused : reply.refused()) {
            coordinator.feed(new PlacementEvent.StartRefused(refused.attempt(), link.worker.id(), refused.reason()));
        }
        reportFinished(link, reply);
        for (WorkerClient.Running running : reply.running()) {
            coordinator.feed(new PlacementEvent.UsageReported(running.attempt(), running.used()));
        }
        noteLeaving(link, reply);
        coordinator.feed(new PlacementEvent.Tick());
    }

    @Override
    public void laterEpochInStore() {
        end(End.SUPERSEDED, "record has a later epoch");
    }

    @Override
    public void superseded(WorkerLink link, ControlReply reply) {
        if (reply.epoch() > record.epoch()) {
            end(End.SUPERSEDED, "worker " + link.worker.id() + " has seen epoch " + reply.epoch());
        }
    }

    private void introduce(WorkerLink link, ControlReply reply) {
        reportFinished(link, reply);
        List<PlacementEvent.RunningTask> running = reply.running().stream()
                .map(task -> new PlacementEvent.RunningTask(task.attempt(), task.reserved()))
                .toList();
        coordinator.feed(new PlacementEvent.WorkerClaimed(link.worker, running));
        noteLeaving(link, reply);
    }

    private void reportFinished(WorkerLink link, ControlReply reply) {
        for (WorkerClient.Finished finished : reply.finished()) {
            TaskAttempt attempt = finished.attempt();
            if (link.isAcknowledging(attempt)) {
                continue;
            }
            if (reported.add(attempt)) {
                coordinator.feed(
                        new PlacementEvent.TaskEnded(attempt, link.worker.id(), finished.outcome(), finished.detail()));
            }
            boolean needsRecord =
                    finished.outcome() == TaskOutcome.SUCCEEDED || finished.outcome() == TaskOutcome.FAILED;
            if (!needsRecord || coordinator.isSettled(attempt)) {
                acknowledge(link.worker.id(), attempt);
            }
        }
    }

    private void noteLeaving(WorkerLink link, ControlReply reply) {
        if (reply.leaving() || leavingByView.contains(link.worker.id())) {
            markLeaving(link.worker.id());
        }
    }

    private void noteMajority() {
        if (majorityAtMs == Quorum.NEVER && workers.hasClaimedMajority()) {
            // The claim that completes the majority counts: until then the old owner may have had authority.
            majorityAtMs = fx.now();
        }
    }

    /** Starts to serve once the tasks on the workers are known well enough. */
    private void advance() {
        if (serving || ended || !journal.isOpen() || majorityAtMs == Quorum.NEVER) {
            return;
        }
        boolean all = workers.hasClaimedAll();
        if (!all && fx.now() <= majorityAtMs + timing.controlLeaseMs()) {
            return;
        }
        serving = true;
        // Placement must know the epoch before it hears of attempts, or it takes them for those of a later owner.
        coordinator.feed(new PlacementEvent.AuthorityChanged(false, record.epoch()));
        coordinator.recover(all ? fx.now() : majorityAtMs + timing.takeoverOpenMs());
        firstReplies.withoutReplaced().forEach((id, reply) -> {
            WorkerLink link = workers.find(id);
            if (link != null) {
                introduce(link, reply);
            }
        });
        Logger.info("event=group-served group={} epoch={} all-workers={}", group, record.epoch(), all);
        updateMayStart();
        coordinator.feed(new PlacementEvent.Tick());
    }

    private void updateMayStart() {
        int bound = mayStart ? timing.maxUnjournalled() : timing.maxUnjournalled() / 2;
        boolean next = hasAuthority() && journal.unjournalled() <= bound;
        if (next != mayStart) {
            mayStart = next;
            coordinator.feed(new PlacementEvent.AuthorityChanged(next, record.epoch()));
        }
    }

    private void noteWorkers() {
        if (!serving) {
            return;
        }
        workers.forEach((id, link) -> {
            if (link.claimedAtMs() == Quorum.NEVER || !link.isUnreachable()) {
                return;
            }
            if (unreachable.add(id)) {
                coordinator.feed(new PlacementEvent.WorkerUnreachable(id));
            }
            if (link.isLost() && lost.add(id)) {
                fx.metrics().workerLost();
                Logger.warn("event=worker-lost group={} worker={}", group, id);
                coordinator.feed(new PlacementEvent.WorkerLost(id));
            }
        });
    }

    static @Nullable OwnershipRecord decode(Store.Entry entry) {
        return entry.exists() ? RecordCodec.decode(entry.value(), OwnershipRecord.class) : null;
    }

    private void end(End end, String reason) {
        if (!ended) {
            close();
            Logger.warn("event=ownership-ended group={} epoch={} reason=\"{}\"", group, record.epoch(), reason);
            listener.ended(this, end);
        }
    }
}
