package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.ProgressLedger.Batch;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against needlessly delayed tasks of a worker whose address was reassigned to another worker: they waited for
 * the expiry of all leases although the earlier worker had ended.
 */
class ReplacedWorkerTest {
    private static final Run RUN = new Run(new TaskName("job", 0, 0, 0), 1);

    private final PoolScheduler scheduler = new PoolScheduler();
    private final WorkerEntry first = entry("first", 80, 2_000);
    private final WorkerEntry second = entry("second", 81, 2_000);
    /** Answers, so that a majority of the workers does, but has no capacity for the task. */
    private final WorkerEntry tiny = entry("tiny", 82, 1);

    private long nowMs = 10_000;

    private static WorkerEntry entry(String id, int port, long milliCores) {
        Resources capacity = new Resources(milliCores, 32_000, 0);
        return new WorkerEntry(id, "pool", "10.0.0.1", port, "dc", "r", false, -1, 1, capacity, List.of());
    }

    private void answer(String id, RunningTask... running) {
        scheduler.onHoldReply(
                id,
                scheduler.holdOrder(id, nowMs, 1),
                new WorkerReport(1, nowMs, List.of(running), List.of()),
                nowMs,
                nowMs);
    }

    private List<String> startedOn() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(0, 0)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).worker().id())
                .toList();
    }

    @BeforeEach
    void startTaskOnTheFirstWorker() {
        scheduler.onWorkerRegistered(first, nowMs);
        answer("first");
        scheduler.submit(SimJobs.job("job", 0, nowMs, SimJobs.step(1, 2_000, 0, 500)));
        assertThat(startedOn()).containsExactly("first");
        scheduler.onWorkerRegistered(second, nowMs);
        scheduler.onWorkerRegistered(tiny, nowMs);
        answer("tiny");
    }

    /** The task survives its start, so that it can't be to blame for the loss of the worker. */
    private void runTask() {
        scheduler.onStartReply("first", RUN, Answer.ACCEPTED, nowMs);
        nowMs += PoolTiming.START_PROOF_MS;
        answer("first", new RunningTask(RUN, "", 100, 2_000));
        answer("tiny");
    }

    private void breakOff() {
        nowMs += 100;
        scheduler.onHoldFailed("first", nowMs, nowMs, true);
    }

    private void write() {
        Batch batch = scheduler.progress().take(10, Set.of());
        scheduler.progress().onWritten(batch);
    }

    @Test
    void should_start_the_tasks_elsewhere_at_once_when_another_worker_answers_at_the_address() {
        // given
        runTask();
        breakOff();

        // when
        scheduler.onWorkerReplaced(first, nowMs, nowMs);
        answer("second");

        // then
        assertThat(startedOn()).containsExactly("second");
    }

    /** Guards against runs that are released since another worker has an address at which theirs never was. */
    @Test
    void should_wait_for_the_leases_when_the_registration_changes_before_the_answer_of_the_worker_arrives() {
        // given an answer from the earlier address
        runTask();
        SentHold hold = scheduler.holdOrder("first", nowMs, 1);
        WorkerEntry moved = entry("first", 90, 2_000);
        scheduler.onWorkerRegistered(moved, nowMs);
        List<RunningTask> running = List.of(new RunningTask(RUN, "", 100, 2_000));
        scheduler.onHoldReply("first", hold, new WorkerReport(1, nowMs, running, List.of()), nowMs, nowMs);

        // when
        breakOff();
        scheduler.onWorkerReplaced(moved, nowMs, nowMs);
        answer("second");

        // then
        assertThat(startedOn()).isEmpty();
    }

    /** Guards against a second crash under a task of which a new owner would know nothing. */
    @Test
    void should_start_a_task_that_may_have_crashed_its_worker_only_once_that_is_durable() {
        // given
        breakOff();
        scheduler.onWorkerReplaced(first, nowMs, nowMs);
        answer("second");

        // when
        List<String> before = startedOn();
        write();

        // then
        assertThat(before).isEmpty();
        assertThat(startedOn()).containsExactly("second");
    }

    @Test
    void should_wait_for_the_leases_when_the_new_address_of_the_worker_has_never_answered() {
        // given
        runTask();
        breakOff();
        WorkerEntry moved = entry("first", 90, 2_000);
        scheduler.onWorkerRegistered(moved, nowMs);

        // when
        scheduler.onWorkerReplaced(moved, nowMs, nowMs);
        answer("second");

        // then
        assertThat(startedOn()).isEmpty();
    }
}
