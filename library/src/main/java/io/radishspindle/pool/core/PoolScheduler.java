package io.radishspindle.pool.core;

import io.radishspindle.pool.core.StepState.Ticket;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Schedules the jobs of one pool for the owner of the pool. Deterministic: all times are passed in. Not thread-safe;
 * belongs to the event loop of the owner.
 *
 * <p>Invariants: a task has at most one run that occupies or may occupy a worker; the reservations on a worker never
 * exceed its capacity; an end is acknowledged only after the progress that it caused is durable; a job is reported as
 * ended only after that is durable.
 */
public final class PoolScheduler {
    private final Map<String, JobState> jobs = new LinkedHashMap<>();
    private final Map<String, JobState> open = new LinkedHashMap<>();
    private final Map<String, EndedJob> ended = new LinkedHashMap<>();
    private final Map<String, WorkerState> workers = new LinkedHashMap<>();
    private final Set<JobState> dirty = new LinkedHashSet<>();
    private final List<PoolAction> actions = new ArrayList<>();
    private final DurationStats durations = new DurationStats();
    private final JobEvents jobEvents;
    private final RunEvents events;
    private final ProgressLedger progress;
    private long recoveryEndsMs = Long.MIN_VALUE;
    /** Answers to holds that were sent before this time do not show that the owner still owns the pool. */
    private long trustedFromMs = Long.MIN_VALUE;

    /** Creates the scheduler of a pool without jobs and workers. */
    public PoolScheduler() {
        jobEvents = new JobEvents(open, dirty, actions);
        events = new RunEvents(jobs, open, jobEvents, actions, durations);
        progress = new ProgressLedger(jobs, workers, dirty);
    }

    /** What stays known of a job that had ended before this owner took over. */
    private record EndedJob(JobPhase phase, long endedWallMs) {}

    /** Takes over a job that an earlier owner may have started. */
    public void load(PoolJob job, @Nullable JobProgress progress, boolean cancelled, long wallMs) {
        JobState state = new JobState(job, true);
        if (progress != null) {
            state.restore(progress);
        }
        jobs.put(job.id(), state);
        if (state.isOpen()) {
            open.put(job.id(), state);
        }
        if (cancelled) {
            cancel(job.id(), wallMs);
        }
    }

    /** Takes over the end of a job; its steps are no longer needed. */
    public void loadEnded(String jobId, JobPhase phase, long endedWallMs) {
        ended.put(jobId, new EndedJob(phase, endedWallMs));
    }

    /**
     * Starts the recovery after a claim: tasks of loaded jobs wait until every listed worker has told what it runs,
     * or until the leases that the previous owner granted have surely ended.
     */
    public void beginRecovery(long nowMs) {
        recoveryEndsMs = nowMs + (long) ((PoolTiming.LEASE_MS + PoolTiming.SILENT_MS) / PoolTiming.SLOWEST_CLOCK);
    }

    /** Adds a new job; false if it is known already. */
    public boolean submit(PoolJob job) {
        if (isKnown(job.id())) {
            return false;
        }
        JobState state = new JobState(job, false);
        jobs.put(job.id(), state);
        open.put(job.id(), state);
        return true;
    }

    /** Cancels a job whose cancellation is durable; false if it is unknown or has ended. */
    public boolean cancel(String jobId, long wallMs) {
        JobState job = jobs.get(jobId);
        if (job == null || !job.isOpen()) {
            return false;
        }
        jobEvents.endJob(job, JobPhase.CANCELLED, wallMs, "cancelled by the caller");
        job.durablePhase = JobPhase.CANCELLED;
        return true;
    }

    /** Replaces what is known of a worker's registration. */
    public void onWorkerRegistered(WorkerEntry entry, long nowMs) {
        WorkerState worker = workers.get(entry.id());
        if (worker == null) {
            workers.put(entry.id(), new WorkerState(entry));
            return;
        }
        if (entry.draining() && !worker.entry.draining()) {
            worker.drainingSinceMs = nowMs;
        }
        worker.entry = entry;
        worker.listed = true;
    }

    /** The registration is gone; the worker gets no more work, and its runs end with their leases. */
    public void onWorkerUnregistered(String workerId) {
        WorkerState worker = workers.get(workerId);
        if (worker != null) {
            worker.listed = false;
        }
    }

    /** Ids of all workers that are listed or still occupied. */
    public List<String> workerIds() {
        return List.copyOf(workers.keySet());
    }

    public Optional<WorkerEntry> worker(String workerId) {
        return Optional.ofNullable(workers.get(workerId)).map(worker -> worker.entry);
    }

    /** Whether more than half of the listed workers have answered lately; without them another owner may exist. */
    public boolean hasQuorum(long nowMs) {
        long listed = 0;
        long answering = 0;
        for (WorkerState worker : workers.values()) {
            if (worker.listed) {
                listed++;
                if (worker.answered && nowMs - worker.lastAnswerMs < PoolTiming.SILENT_MS) {
                    answering++;
                }
            }
        }
        return 2 * answering > listed;
    }

    /**
     * Treats all workers as silent until they answer a hold that is sent from now on: the owner did not run for a
     * while, and its workers may have another owner.
     */
    public void invalidateEarlierAnswers(long nowMs) {
        trustedFromMs = nowMs;
        workers.values().forEach(worker -> worker.lastAnswerMs = Math.min(worker.lastAnswerMs, silentSince(nowMs)));
    }

    private static long silentSince(long nowMs) {
        return nowMs - PoolTiming.SILENT_MS;
    }

    /** The next hold for a worker. A worker without runs is only watched. */
    public HoldOrder holdOrder(String workerId, long nowMs, long fencingToken) {
        WorkerState worker = workers.get(workerId);
        if (worker == null || !worker.answered) {
            return new HoldOrder(0, fencingToken, 0, 0);
        }
        // A worker that may be cut off gets no further lease, so that its runs end at a known time.
        boolean renew = !worker.runs.isEmpty() && !worker.lastHoldFailed && hasQuorum(nowMs);
        long leaseEnd = renew ? worker.grantLease(nowMs) : 0;
        boolean mayWait = worker.seenSequence == worker.durableSequence && !worker.lastHoldFailed;
        // The worker may have begun a new life since its last answer, whose ends have the same numbers.
        long acknowledged = worker.lastHoldFailed ? 0 : worker.durableSequence;
        return new HoldOrder(leaseEnd, fencingToken, acknowledged, mayWait ? events.holdWaitMs(worker, nowMs) : 0);
    }

    /** Whether ends of the worker wait to become durable, so that a waiting hold would return at once. */
    public boolean awaitsDurability(String workerId) {
        WorkerState worker = workers.get(workerId);
        return worker != null && worker.seenSequence > worker.durableSequence;
    }

    /**
     * Takes over the lists of a worker.
     *
     * @param requestedAtMs when the hold was sent; runs that were settled later may be absent from the lists
     */
    public void onHoldReply(String workerId, long requestedAtMs, WorkerReport report, long nowMs, long wallMs) {
        WorkerState worker = workers.get(workerId);
        if (worker != null) {
            events.reported(worker, requestedAtMs, report, nowMs, wallMs);
            if (requestedAtMs < trustedFromMs) {
                worker.lastAnswerMs = Math.min(worker.lastAnswerMs, silentSince(trustedFromMs));
            }
        }
    }

    /** A hold that was sent at {@code sentAtMs} got no answer or was turned down. */
    public void onHoldFailed(String workerId, long sentAtMs) {
        WorkerState worker = workers.get(workerId);
        if (worker != null) {
            worker.lastHoldFailed = true;
            worker.failedHoldSentAtMs = sentAtMs;
        }
    }

    /**
     * Another worker answers at the address, which is given away only after its holder has ended: the runs of the
     * earlier holder are over.
     */
    public void onWorkerReplaced(WorkerEntry asked, long nowMs, long wallMs) {
        WorkerState worker = workers.get(asked.id());
        // An entry that was never answered to may name a wrong address.
        if (worker == null || worker.answeredAs == null || !worker.answeredAs.isSameIncarnation(asked)) {
            return;
        }
        worker.answered = false;
        worker.leaseBoundMs = nowMs;
        worker.seenSequence = 0;
        worker.durableSequence = 0;
        events.leaseEnded(worker, "another worker has its address", nowMs, wallMs);
    }

    /** The answer to a start; null if there was none and the start may still be carried out. */
    public void onStartReply(String workerId, Run run, @Nullable Answer answer, long nowMs) {
        WorkerState worker = workers.get(workerId);
        RunState state = worker == null ? null : worker.runs.get(run);
        if (state != null) {
            events.onStartReply(state, answer, nowMs);
        }
    }

    /** The answer to a stop; null if there was none. */
    public void onStopReply(String workerId, Run run, @Nullable Answer answer, long nowMs) {
        WorkerState worker = workers.get(workerId);
        RunState state = worker == null ? null : worker.runs.get(run);
        if (state != null) {
            events.onStopReply(state, answer, nowMs);
        }
    }

    /**
     * Takes over advice; null if the call failed.
     *
     * @param asked the workers that were named in the call
     */
    public void onAdvice(String stepName, List<String> asked, @Nullable Advice advice, long nowMs) {
        TaskName.parse(stepName + ".0").ifPresent(name -> {
            JobState job = open.get(name.jobId());
            if (job == null) {
                return;
            }
            StepState step = job.step(name.occurrence(), name.step());
            step.adviceInFlight = false;
            if (advice == null) {
                return;
            }
            step.askedWorkers.addAll(asked);
            long untilMs = nowMs + advice.validMs() - PoolTiming.TICKET_MARGIN_MS;
            for (String id : asked) {
                WorkerState worker = workers.get(id);
                String ticket = advice.tickets().get(id);
                if (worker != null && ticket != null) {
                    step.tickets.put(id, new Ticket(ticket, untilMs, worker.bootWallMs));
                }
            }
        });
    }

    /**
     * One scheduling pass.
     *
     * @param channels calls for advice that can be made at once
     */
    public List<PoolAction> schedule(long nowMs, long wallMs, AdviceChannels channels) {
        expireLeases(nowMs, wallMs);
        events.review(workers.values(), nowMs);
        if (hasQuorum(nowMs)) {
            RoomForecast forecast = new RoomForecast(workers.values(), durations, nowMs, PoolTiming.FORECAST_MS);
            new SchedulingPass(workers.values(), actions, nowMs, channels, forecast)
                    .run(Ranking.rank(readySteps(nowMs, wallMs), wallMs), dirty);
        }
        List<PoolAction> result = List.copyOf(actions);
        actions.clear();
        return result;
    }

    /** Runs of silent workers end when no lease can be left. */
    private void expireLeases(long nowMs, long wallMs) {
        for (WorkerState worker : List.copyOf(workers.values())) {
            boolean silent = !worker.answered || nowMs - worker.lastAnswerMs > PoolTiming.SILENT_MS;
            // The last look came after the bound, so that an owner short of processor time does not overlook an end.
            boolean lookedSince = worker.failedHoldSentAtMs >= worker.leaseBoundMs;
            if (silent && nowMs > worker.leaseBoundMs && (lookedSince || worker.runs.isEmpty())) {
                events.leaseEnded(worker, "silent until all leases had ended", nowMs, wallMs);
                if (!worker.listed) {
                    workers.remove(worker.id());
                }
            }
        }
    }

    private List<StepState> readySteps(long nowMs, long wallMs) {
        boolean recovering = isRecovering(nowMs);
        List<StepState> ready = new ArrayList<>();
        for (JobState job : open.values()) {
            if (recovering && job.inherited) {
                continue;
            }
            for (StepState step : job.steps) {
                if (!step.isDone() && job.isReleased(step, wallMs) && step.waitingTasks() > 0) {
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

    /** Whether tasks of loaded jobs still wait for what workers run; see {@link #beginRecovery}. */
    public boolean isRecovering(long nowMs) {
        if (nowMs >= recoveryEndsMs) {
            return false;
        }
        boolean complete = workers.values().stream().filter(w -> w.listed).allMatch(w -> w.answered);
        if (complete && !workers.isEmpty()) {
            recoveryEndsMs = nowMs;
        }
        return nowMs < recoveryEndsMs;
    }

    /** Phase of a job that may be told to callers; empty if the job is unknown. */
    public Optional<JobPhase> phase(String jobId) {
        JobState job = jobs.get(jobId);
        if (job == null) {
            return Optional.ofNullable(ended.get(jobId)).map(EndedJob::phase);
        }
        return Optional.of(job.phase.isFinal() ? job.durablePhase : job.phase);
    }

    /** Whether a job is known, open or ended. */
    public boolean isKnown(String jobId) {
        return jobs.containsKey(jobId) || ended.containsKey(jobId);
    }

    /** Number of jobs of a queue of which no task has started. */
    public int pending(String queue) {
        int count = 0;
        for (JobState job : open.values()) {
            if (job.phase == JobPhase.QUEUED && job.job.queue().equals(queue)) {
                count++;
            }
        }
        return count;
    }

    /** How full the pool is and who waits. */
    public PoolLoad load(long nowMs, long wallMs) {
        return PoolLoad.of(workers.values(), readySteps(nowMs, wallMs), nowMs);
    }

    /** Number of jobs that have not ended. */
    public int unfinishedJobs() {
        return open.size();
    }

    /** What has to be written, and what is durable. */
    public ProgressLedger progress() {
        return progress;
    }

    /** Forgets jobs that ended before {@code untilWallMs}; yields their ids, at most {@code limit}. */
    public List<String> removeEnded(long untilWallMs, int limit) {
        List<String> ids = new ArrayList<>();
        jobs.values().stream()
                .filter(job -> !job.isOpen() && job.durablePhase.isFinal() && job.endedWallMs < untilWallMs)
                .limit(limit)
                .forEach(job -> ids.add(job.job.id()));
        ended.entrySet().stream()
                .filter(entry -> entry.getValue().endedWallMs() < untilWallMs)
                .limit(limit - ids.size())
                .forEach(entry -> ids.add(entry.getKey()));
        ids.forEach(jobs::remove);
        ids.forEach(ended::remove);
        return ids;
    }

    /** A start order as the pass creates it; the owner adds its fencing token. */
    static StartOrder order(RunState run, long leaseEndWorkerMs, String checkpoint, String ticket) {
        TaskState task = run.task;
        String payload = task == null ? "" : task.step.job.job.payload();
        return new StartOrder(run.run, payload, leaseEndWorkerMs, 0, checkpoint, ticket);
    }
}
