package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import io.radishspindle.pool.tenant.TenantDemand;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of one pool for the owner of the pool. Deterministic: all times are passed in. Not thread-safe;
 * confined to the event loop of the owner.
 *
 * <p>Invariants: a task has at most one run that occupies or may occupy a worker; the reservations on a worker never
 * exceed its capacity; an end is acknowledged only after the progress that results from it is durable; a job is
 * reported as ended only after its end is durable.
 */
public final class PoolScheduler {
    private static final long UNKNOWN_BOOT_MS = 0;

    private final Map<String, JobState> jobs = new LinkedHashMap<>();
    private final Map<String, JobState> unfinished = new LinkedHashMap<>();
    private final EndedJobs ended = new EndedJobs();
    private final Map<String, WorkerState> workers = new LinkedHashMap<>();
    private final Set<JobState> dirty = new LinkedHashSet<>();
    private final List<PoolAction> actions = new ArrayList<>();
    private final DurationStats durations;
    private final ApprovalRates approvals = new ApprovalRates();
    private final PreemptionBudget preemption = new PreemptionBudget();
    private final PoolOptions options;
    private final JobEvents jobEvents;
    private final RunEvents events;
    private final CrashAttribution attribution;
    private final Trials trials;
    private final ProgressLedger progress;
    private final Recovery recovery;
    private final ActiveRuns activeRuns = new ActiveRuns();
    private final GivenUpRuns givenUp = new GivenUpRuns();
    private final Quorum quorum;
    private final StartPermission permission;
    private final TenantOrder order;
    private final DelayedTasks delayed;
    /** Answers to holds that were sent before this time don't prove that the owner still owns the pool. */
    private long trustedFromMs = Long.MIN_VALUE;

    /** Creates the scheduler of a pool without jobs and workers, in a deployment without tenants. */
    public PoolScheduler() {
        this(PoolOptions.defaults());
    }

    /** Creates the scheduler of a pool without jobs and workers. */
    public PoolScheduler(PoolOptions options) {
        this.options = options;
        durations = new DurationStats(options.runTimes(), actions);
        jobEvents = new JobEvents(unfinished, dirty, actions);
        attribution = new CrashAttribution(workers, dirty, jobEvents, actions);
        trials = new Trials(workers, dirty);
        events = new RunEvents(
                jobs,
                unfinished,
                jobEvents,
                actions,
                durations,
                this::isKnown,
                this::tenantOf,
                attribution,
                new FailureAttribution(workers, actions),
                trials,
                givenUp);
        progress = new ProgressLedger(jobs, workers, dirty);
        order = new TenantOrder(options.weights());
        recovery = new Recovery(workers, unfinished, options.limits(), options.roster());
        quorum = new Quorum(options.roster());
        permission = new StartPermission(quorum, recovery, activeRuns);
        delayed = new DelayedTasks(permission, trials, options.limits(), actions);
    }

    /** Adds a stored job, which an earlier owner may have started. */
    public void load(PoolJob job, @Nullable JobProgress progress, boolean cancelled, long wallMs) {
        JobState state = new JobState(job, true, durations);
        if (progress != null) {
            state.restore(progress);
        }
        jobs.put(job.id(), state);
        if (state.isUnfinished()) {
            unfinished.put(job.id(), state);
            if (state.hasCrashRecords()) {
                dirty.add(state);
            }
        }
        if (cancelled) {
            cancel(job.id(), wallMs);
        }
    }

    /** Adds a stored job without a tenant that has ended; its steps are no longer needed. */
    public void loadEnded(String jobId, JobPhase phase, long endedWallMs) {
        loadEnded(jobId, phase, endedWallMs, null);
    }

    /** Adds a stored job that has ended; its steps are no longer needed. */
    public void loadEnded(String jobId, JobPhase phase, long endedWallMs, @Nullable String tenant) {
        ended.add(jobId, phase, endedWallMs, tenant);
        if (tenant != null && phase != JobPhase.COMPLETED) {
            recovery.onStoppedJob(tenant, endedWallMs);
        }
    }

    /**
     * Starts the recovery after a takeover: tasks of loaded jobs wait until every recorded worker has reported its
     * runs, or until all leases that the previous owner granted have certainly expired.
     */
    public void beginRecovery(long nowMs) {
        order.onLoaded(unfinished.values());
        quorum.begin(nowMs);
        recovery.begin(nowMs);
        attribution.onInherited(unfinished.values(), nowMs);
    }

    /** All earlier owners of the pool had ended at a time; called at most once, before or after the recovery begins. */
    public void onEarlierOwnersEnded(long endedMs) {
        recovery.onEarlierOwnersEnded(endedMs);
    }

    /** Adds a new job that no other owner knows; returns false if it is already known. */
    public boolean submit(PoolJob job) {
        if (isKnown(job.id())) {
            return false;
        }
        add(new JobState(job, false, durations));
        return true;
    }

    /** Adds a new job that an earlier owner may have started; returns false if it is already known. */
    public boolean submitInherited(PoolJob job, long nowMs, long wallMs) {
        if (isKnown(job.id())) {
            return false;
        }
        JobState state = new JobState(job, true, durations);
        add(state);
        events.onJobKnown(state, nowMs, wallMs);
        return true;
    }

    private void add(JobState state) {
        order.onArrival(state);
        jobs.put(state.job.id(), state);
        unfinished.put(state.job.id(), state);
    }

    /** Cancels a job whose cancellation is durable; returns false if it is unknown or has ended. */
    public boolean cancel(String jobId, long wallMs) {
        JobState job = jobs.get(jobId);
        if (job == null || !job.isUnfinished()) {
            return false;
        }
        jobEvents.endJob(job, JobPhase.CANCELLED, wallMs, "cancelled by the caller");
        job.durablePhase = JobPhase.CANCELLED;
        return true;
    }

    /** Adds a worker or updates its registration. */
    public void onWorkerRegistered(WorkerEntry entry, long nowMs) {
        WorkerState worker = workers.get(entry.id());
        if (worker == null) {
            workers.put(entry.id(), newWorker(entry));
            return;
        }
        if (!entry.isSameIncarnation(worker.entry)) {
            worker.replaced = false;
        }
        if (entry.draining() && !worker.entry.draining()) {
            worker.drainingSinceMs = nowMs;
        }
        worker.entry = entry;
        worker.listed = true;
    }

    /**
     * Adds a worker that an earlier owner has recorded. It is asked for its runs even if its registration is missing,
     * and gets new ones once it is registered.
     */
    public void onWorkerRecorded(WorkerEntry recorded) {
        WorkerState worker = workers.get(recorded.id());
        if (worker == null) {
            worker = newWorker(recorded);
            worker.listed = false;
            workers.put(recorded.id(), worker);
        }
        if (worker.entryAtLastAnswer == null) {
            worker.entryAtLastAnswer = recorded;
        }
    }

    private WorkerState newWorker(WorkerEntry entry) {
        return new WorkerState(entry, options.limits(), options.roster(), activeRuns, options.maxLeaseMs());
    }

    /** Handles a removed registration: the worker gets no more work, and its runs end when their lease expires. */
    public void onWorkerUnregistered(String workerId) {
        WorkerState worker = workers.get(workerId);
        if (worker != null) {
            worker.listed = false;
        }
    }

    /** Returns the ids of all workers that are registered or may still have runs. */
    public List<String> workerIds() {
        return List.copyOf(workers.keySet());
    }

    public Optional<WorkerEntry> worker(String workerId) {
        return Optional.ofNullable(workers.get(workerId)).map(worker -> worker.entry);
    }

    /** Returns the registrations of the workers that have answered this owner as they are registered now. */
    public List<WorkerEntry> answeringWorkers(long nowMs) {
        return workers.values().stream()
                .filter(worker -> worker.isAnswering(nowMs) && worker.answeredAtItsAddress())
                .map(worker -> worker.entry)
                .toList();
    }

    /** Returns whether the worker has ever answered an owner of the pool. */
    public boolean hasAnswered(String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker != null && worker.hasEverAnswered();
    }

    /** Returns the time on the owner's clock by which all leases granted to the worker have expired. */
    public long leasesEndMs(String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker == null ? 0 : worker.leaseBoundMs;
    }

    /** Returns whether the worker may have runs, of this owner or of an earlier one. */
    public boolean mayHaveRuns(String workerId, long nowMs) {
        WorkerState worker = workers.get(workerId);
        return worker != null && (!worker.runs.isEmpty() || !worker.isLost(nowMs) || recovery.awaits(worker, nowMs));
    }

    /** Returns whether a majority of the recorded workers responds; without it another owner may exist. */
    public boolean hasQuorum(long nowMs) {
        return permission.mayStartAny(workers.values(), nowMs);
    }

    /**
     * Treats all workers as unresponsive until they answer a hold that is sent from now on: the owner was paused, and
     * its workers may have another owner.
     */
    public void invalidateEarlierAnswers(long nowMs) {
        trustedFromMs = nowMs;
        workers.values().forEach(worker -> worker.distrustAnswers(nowMs));
    }

    /** Creates the next hold for a worker. The lease is renewed only if the worker has runs. */
    public SentHold holdOrder(String workerId, long nowMs, long fencingToken) {
        WorkerState worker = workers.get(workerId);
        if (worker == null) {
            long dueMs = nowMs + PoolTiming.HOLD_ANSWER_MS;
            HoldOrder order = new HoldOrder(0, fencingToken, 0, 0);
            return new SentHold(null, order, nowMs, dueMs, dueMs, EventSequence.BEFORE_ALL);
        }
        HoldOrder order = holdOrder(worker, nowMs, fencingToken);
        long dueMs = nowMs + order.waitMs() + PoolTiming.HOLD_ANSWER_MS;
        // A start may extend the lease while the answer isn't overdue.
        long relevantUntilMs = mayReportNews(worker, nowMs) ? dueMs + WorkerState.LONGEST_LEASE_MS : dueMs;
        worker.lastHoldNumber = worker.calls.next();
        return new SentHold(worker.entry, order, nowMs, dueMs, relevantUntilMs, worker.lastHoldNumber);
    }

    /** Whether the worker may report runs, or ends of runs, that this owner doesn't know or hasn't given up. */
    private boolean mayReportNews(WorkerState worker, long nowMs) {
        boolean mayGetStarts = worker.answered && !worker.lastHoldFailed;
        return mayGetStarts || !worker.runs.isEmpty() || recovery.awaits(worker, nowMs);
    }

    /** Returns how many of these ends are of runs that were given up without a report of their end. */
    public int countGivenUp(List<EndedRun> ends) {
        return (int)
                ends.stream().filter(ended -> givenUp.contains(ended.run())).count();
    }

    private HoldOrder holdOrder(WorkerState worker, long nowMs, long fencingToken) {
        if (!worker.answered) {
            return new HoldOrder(0, fencingToken, 0, 0);
        }
        boolean renew = worker.mayRenewLease() && hasQuorum(nowMs);
        long leaseEnd = renew ? worker.grantLease(nowMs, LeaseSource.HOLD) : 0;
        boolean mayWait = worker.appliedSequence == worker.durableSequence && !worker.lastHoldFailed;
        // The worker may have restarted since its last answer and may use the same sequence numbers again.
        long acknowledged = worker.lastHoldFailed ? 0 : worker.durableSequence;
        return new HoldOrder(leaseEnd, fencingToken, acknowledged, mayWait ? events.holdWaitMs(worker, nowMs) : 0);
    }

    /** Returns whether ends of the worker wait to become durable, so that a hold would return immediately. */
    public boolean awaitsDurability(String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker != null && worker.appliedSequence > worker.durableSequence;
    }

    /**
     * Applies the report of a worker, which may arrive after the hold has failed, or after reports to later holds.
     *
     * @param hold the hold that requested it, from {@link #holdOrder}; runs that were resolved after it was sent may be
     *     missing from the report
     */
    public ReportOrder onHoldReply(String workerId, SentHold hold, WorkerReport report, long nowMs, long wallMs) {
        WorkerState worker = workers.get(workerId);
        if (worker == null) {
            return ReportOrder.OTHER_INCARNATION;
        }
        ReportOrder order = events.onReport(worker, hold, report, nowMs, wallMs);
        if (worker.tokenAcceptedAtMs < trustedFromMs) {
            worker.distrustAnswers(trustedFromMs);
        }
        return order;
    }

    /**
     * Handles a hold, sent at {@code sentAtMs}, that got no answer or was rejected.
     *
     * @param brokenOff whether the connection was closed or refused, rather than silent
     */
    public void onHoldFailed(String workerId, long sentAtMs, long nowMs, boolean brokenOff) {
        WorkerState worker = workers.get(workerId);
        if (worker != null) {
            if (worker.brokenAtMs < 0) {
                worker.brokenAtMs = nowMs;
                worker.brokenOff = brokenOff;
                attribution.onBroken(worker, nowMs);
            }
            worker.onHoldFailed(sentAtMs);
        }
    }

    /**
     * Handles an answer from another worker at the address of {@code polled}. An address is reassigned only after the
     * earlier worker has ended, so its runs have ended too.
     */
    public void onWorkerReplaced(WorkerEntry polled, long nowMs, long wallMs) {
        WorkerState worker = workers.get(polled.id());
        // An entry from which no answer ever came may contain a wrong address.
        if (worker == null || worker.entryAtLastAnswer == null || !worker.entryAtLastAnswer.isSameIncarnation(polled)) {
            return;
        }
        worker.answered = false;
        worker.replaced = true;
        worker.reports.onReplaced(worker.calls.next());
        worker.hasReportedAll = false;
        worker.bootWallMs = UNKNOWN_BOOT_MS;
        worker.leaseBoundMs = nowMs;
        worker.leaseSource = LeaseSource.NONE;
        worker.appliedSequence = 0;
        worker.durableSequence = 0;
        events.onLeasesExpired(worker, "another worker has its address", nowMs, wallMs);
    }

    /** Applies the answer to a start; null if there was none, so that the start may still be executed. */
    public void onStartReply(String workerId, Run run, @Nullable Answer answer, long nowMs) {
        WorkerState worker = workers.get(workerId);
        RunState state = worker == null ? null : worker.runs.get(run);
        if (state != null) {
            events.onStartReply(state, answer, nowMs);
        }
    }

    /** Applies the answer to a stop; null if there was none. */
    public void onStopReply(String workerId, Run run, @Nullable Answer answer, long nowMs) {
        WorkerState worker = workers.get(workerId);
        RunState state = worker == null ? null : worker.runs.get(run);
        if (state != null) {
            events.onStopReply(state, answer, nowMs);
        }
    }

    /**
     * Applies the result of an advice call; null if the call failed.
     *
     * @param queried the workers in the call
     */
    public void onAdvice(String stepName, List<String> queried, @Nullable Advice advice, long nowMs) {
        TaskName.parse(stepName + ".0").ifPresent(name -> {
            JobState job = unfinished.get(name.jobId());
            if (job == null) {
                return;
            }
            AdviceResults.apply(job.step(name.occurrence(), name.step()), queried, advice, workers, approvals, nowMs);
        });
    }

    /**
     * Runs one scheduling pass and returns the actions that have accumulated since the last one.
     *
     * @param channels limits the advice calls of this pass
     */
    public List<PoolAction> schedule(long nowMs, long wallMs, AdviceChannels channels) {
        durations.beginPass(nowMs);
        expireLeases(nowMs, wallMs);
        attribution.judge(nowMs, wallMs);
        trials.refresh(nowMs);
        events.stopUnwantedRuns(workers.values(), nowMs, recovery.mayLackGangMembers(nowMs));
        boolean hasQuorum = hasQuorum(nowMs);
        recovery.update(hasQuorum, nowMs, wallMs);
        ExpectedEnds ends = new ExpectedEnds(durations, nowMs);
        if (hasQuorum) {
            SchedulingPass pass = new SchedulingPass(
                    workers.values(),
                    actions,
                    nowMs,
                    channels,
                    approvals,
                    options.limits(),
                    ends,
                    preemption,
                    permission,
                    trials,
                    attribution.caution(nowMs),
                    dirty);
            List<StepState> ready = readySteps(nowMs, wallMs);
            pass.run(Ranking.rank(ready, order.behind(ready, workers.values()), wallMs));
            if (recovery.endsBy(nowMs + PoolTiming.FORECAST_HORIZON_MS, nowMs)) {
                pass.prepare(Ranking.rank(stepsInRecovery(wallMs), Set.of(), wallMs));
            }
            order.onPass(pass.foundNoRoom());
            delayed.check(unfinished.values(), pass::placer, true, nowMs, wallMs);
        } else {
            delayed.check(
                    unfinished.values(),
                    () -> new Placer(workers.values(), ends, Caution.NONE, nowMs),
                    false,
                    nowMs,
                    wallMs);
        }
        List<PoolAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Ends the runs of unresponsive workers once all their leases have certainly expired. */
    private void expireLeases(long nowMs, long wallMs) {
        for (WorkerState worker : List.copyOf(workers.values())) {
            if (worker.isLost(nowMs)) {
                events.onLeasesExpired(worker, "unresponsive until all leases had expired", nowMs, wallMs);
                if (!worker.listed && !recovery.awaits(worker, nowMs)) {
                    workers.remove(worker.id());
                }
            }
        }
    }

    private List<StepState> readySteps(long nowMs, long wallMs) {
        List<StepState> ready = new ArrayList<>();
        for (JobState job : unfinished.values()) {
            if (!permission.mayStartTasksOf(job, nowMs)) {
                continue;
            }
            for (StepState step : job.steps) {
                if (!step.isDone() && job.isRunnable(step, wallMs) && step.waitingTasks() > 0) {
                    if (step.readySinceMs < 0) {
                        step.readySinceMs = nowMs;
                        step.firstReadyMs = nowMs;
                    }
                    ready.add(step);
                }
            }
        }
        return ready;
    }

    /** Steps of loaded jobs that will be ready once the recovery is complete. */
    private List<StepState> stepsInRecovery(long wallMs) {
        return unfinished.values().stream()
                .filter(job -> job.inherited)
                .flatMap(job -> job.steps.stream())
                .filter(step -> !step.isDone() && step.job.isRunnable(step, wallMs) && step.waitingTasks() > 0)
                .toList();
    }

    /** Returns whether tasks of loaded jobs still wait for the workers' reports; see {@link #beginRecovery}. */
    public boolean isRecovering(long nowMs) {
        return recovery.isActive(nowMs);
    }

    /** Returns the number of recorded workers that have not reported since the takeover. */
    public int silentWorkers() {
        return recovery.silentWorkers();
    }

    /** All workers with the runs that occupy or may occupy them. */
    Collection<WorkerState> workerStates() {
        return workers.values();
    }

    /** Returns whether runs of an earlier owner may be unknown; may outlast {@link #isRecovering}. */
    public boolean mayHaveUnseenRuns() {
        return recovery.mayHaveUnseenRuns();
    }

    /** Returns what waits for each tenant. */
    public Map<String, TenantDemand> tenantDemands(long nowMs, long wallMs) {
        return TenantDemands.of(readySteps(nowMs, wallMs), workers.values(), options.limits(), nowMs);
    }

    /** Returns the phase of a job to report to callers; empty if the job is unknown. */
    public Optional<JobPhase> phase(String jobId) {
        JobState job = jobs.get(jobId);
        if (job == null) {
            return ended.phase(jobId);
        }
        return Optional.of(job.phase.isFinal() ? job.durablePhase : job.phase);
    }

    /** Returns the tenant of a job, unfinished or ended; empty if the job is unknown or has no tenant. */
    public Optional<String> tenantOf(String jobId) {
        JobState job = jobs.get(jobId);
        if (job == null) {
            return ended.tenant(jobId);
        }
        return Optional.ofNullable(job.job.tenant());
    }

    /** Returns whether a job is known, unfinished or ended. */
    public boolean isKnown(String jobId) {
        return jobs.containsKey(jobId) || ended.contains(jobId);
    }

    /** Returns the number of jobs of a queue of which no task has started; see {@link PoolJob#isOfQueue}. */
    public int pending(String queue, @Nullable String address) {
        int count = 0;
        for (JobState job : unfinished.values()) {
            if (job.phase == JobPhase.QUEUED && job.job.isOfQueue(queue, address)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the usage of the pool and its waiting tasks. */
    public PoolLoad load(long nowMs, long wallMs) {
        return PoolLoad.of(workers.values(), readySteps(nowMs, wallMs), nowMs);
    }

    /** Returns the number of unfinished jobs. */
    public int unfinishedJobs() {
        return unfinished.size();
    }

    /** Returns the ledger of unwritten and durable progress. */
    public ProgressLedger progress() {
        return progress;
    }

    /** Removes at most {@code limit} jobs that ended before {@code untilWallMs}; returns their ids. */
    public List<String> removeEnded(long untilWallMs, int limit) {
        List<String> ids = new ArrayList<>();
        jobs.values().stream()
                .filter(job -> !job.isUnfinished() && job.durablePhase.isFinal() && job.endedWallMs < untilWallMs)
                .limit(limit)
                .forEach(job -> ids.add(job.job.id()));
        ids.addAll(ended.endedBefore(untilWallMs, limit - ids.size()));
        ids.forEach(jobs::remove);
        ended.removeAll(ids);
        return ids;
    }

    /** Creates a start order without a fencing token, which the owner sets. */
    static StartOrder order(RunState run, long leaseEndWorkerMs, String checkpoint, String ticket) {
        TaskState task = run.task;
        String payload = task == null ? "" : task.step.job.job.payload();
        return new StartOrder(run.run, payload, leaseEndWorkerMs, 0, checkpoint, ticket);
    }
}
