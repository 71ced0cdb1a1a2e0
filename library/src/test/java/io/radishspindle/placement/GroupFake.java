package io.radishspindle.placement;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Simulates the owner and the workers of one group around a core in virtual time and checks every action. Not
 * thread-safe.
 */
final class GroupFake {
    static final long EPOCH = 7;

    final GroupPlacement core;
    final ActionChecker checker = new ActionChecker();
    final List<PlacementAction> actions = new ArrayList<>();
    long nowMs = 1_000;

    GroupFake(PlacementPolicy policy) {
        core = new FairSharePlacement(1, policy);
        authority(true);
    }

    GroupFake() {
        this(PlacementPolicy.DEFAULT);
    }

    List<PlacementAction> send(PlacementEvent event) {
        List<PlacementAction> decided = core.handle(nowMs, event);
        checker.check(nowMs, decided);
        actions.addAll(decided);
        return decided;
    }

    void authority(boolean mayStart) {
        checker.mayStart = mayStart;
        send(new PlacementEvent.AuthorityChanged(mayStart, EPOCH));
    }

    void claim(WorkerInfo worker) {
        checker.workers.put(worker.id(), worker);
        checker.usable.add(worker.id());
        List<PlacementEvent.RunningTask> running = new ArrayList<>();
        checker.attemptsOn(worker.id()).forEach((a, r) -> running.add(new PlacementEvent.RunningTask(a, r)));
        send(new PlacementEvent.WorkerClaimed(worker, running));
    }

    void claimAll(int count, int perRack, Resources capacity) {
        int first = checker.workers.size();
        for (int i = first; i < first + count; i++) {
            claim(Fixtures.worker(String.format("w%02d", i), "rack" + i / perRack, capacity));
        }
    }

    void unreachable(String worker) {
        checker.usable.remove(worker);
        send(new PlacementEvent.WorkerUnreachable(worker));
    }

    void lost(String worker) {
        checker.usable.remove(worker);
        checker.attemptsOn(worker).clear();
        send(new PlacementEvent.WorkerLost(worker));
    }

    void leaving(String worker) {
        checker.usable.remove(worker);
        send(new PlacementEvent.WorkerLeaving(worker));
    }

    void accept(JobSpec job) {
        checker.jobs.putIfAbsent(job.id(), job);
        send(new PlacementEvent.JobAccepted(job));
    }

    void recover(JobSpec job, Set<Integer> completed, long openUntilMs) {
        if (checker.jobs.putIfAbsent(job.id(), job) == null) {
            checker.openUntilMs.put(job.id(), openUntilMs);
            completed.forEach(i -> checker.completed.add(new TaskId(job.id(), i)));
        }
        send(new PlacementEvent.JobRecovered(job, completed, 0, openUntilMs));
    }

    void cancel(String jobId) {
        if (checker.jobs.containsKey(jobId)) {
            checker.cancelled.add(jobId);
        }
        send(new PlacementEvent.JobCancelled(jobId));
    }

    void end(TaskAttempt attempt, TaskOutcome outcome) {
        String worker = Objects.requireNonNullElse(checker.whereRunning(attempt.task()), "nowhere");
        checker.attemptsOn(worker).remove(attempt);
        send(new PlacementEvent.TaskEnded(attempt, worker, outcome, "exit 1"));
    }

    void refuse(TaskAttempt attempt) {
        String worker = Objects.requireNonNullElse(checker.whereRunning(attempt.task()), "nowhere");
        checker.attemptsOn(worker).remove(attempt);
        send(new PlacementEvent.StartRefused(attempt, worker, "no room"));
    }

    List<PlacementAction> tick(long afterMs) {
        nowMs += afterMs;
        return send(new PlacementEvent.Tick());
    }

    /**
     * Advances time in ticks of 50 ms; attempts with a stop command end at once if {@code stopMs} is 0, otherwise
     * never.
     */
    void run(long forMs, long stopMs) {
        for (long end = nowMs + forMs; nowMs < end; ) {
            List<PlacementAction> decided = tick(50);
            for (PlacementAction action : decided) {
                if (action instanceof PlacementAction.CommandTask command && stopMs == 0 && isStop(command)) {
                    end(command.attempt(), TaskOutcome.STOPPED);
                }
            }
        }
    }

    private static boolean isStop(PlacementAction.CommandTask command) {
        return command.command() == WorkerClient.Command.STOP
                || command.command() == WorkerClient.Command.CHECKPOINT_AND_STOP;
    }

    List<TaskAttempt> live(String jobId) {
        List<TaskAttempt> live = new ArrayList<>();
        for (Map<TaskAttempt, Resources> held : checker.running.values()) {
            held.keySet().stream().filter(a -> a.task().jobId().equals(jobId)).forEach(live::add);
        }
        return live;
    }

    <T extends PlacementAction> List<T> all(Class<T> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    JobStatus status(String jobId) {
        return core.status(nowMs, jobId).orElseThrow();
    }
}
