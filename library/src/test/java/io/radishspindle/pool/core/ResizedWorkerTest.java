package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against starts beyond a capacity that shrank while runs were under way in any phase, and against a capacity
 * that has grown and stays unused.
 */
class ResizedWorkerTest {
    private static final Run FIRST = new Run(new TaskName("first", 0, 0, 0), 1);

    private PoolScheduler scheduler = new PoolScheduler();
    private long nowMs = 10_000;

    /** What is known of the first run when the worker shrinks. */
    enum Phase {
        STARTING,
        UNANSWERED,
        RUNNING,
        STOPPING,
        ADOPTED
    }

    private void register(long milliCores) {
        Resources capacity = new Resources(milliCores, 32_000, 0);
        scheduler.onWorkerRegistered(
                new WorkerEntry("w", "pool", "10.0.0.1", 80, "dc", "r", false, -1, 1, capacity, List.of()), nowMs);
    }

    private void report(RunningTask... running) {
        nowMs += 10;
        scheduler.onHoldReply(
                "w",
                scheduler.holdOrder("w", nowMs, 1),
                new WorkerReport(1, nowMs, List.of(running), List.of()),
                nowMs,
                nowMs);
    }

    private List<String> started() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(0, 0)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).order().run().task().jobId())
                .toList();
    }

    private void submit(String id, long milliCores) {
        scheduler.submit(SimJobs.job(id, 0, nowMs, SimJobs.step(1, milliCores, 0, 500)));
    }

    private void startFirst(Phase phase) {
        register(8_000);
        report();
        submit("first", 4_000);
        assertThat(started()).containsExactly("first");
        RunningTask running = new RunningTask(FIRST, "", 100, 4_000);
        switch (phase) {
            case STARTING -> {}
            case UNANSWERED -> answer(null);
            case RUNNING -> {
                answer(Answer.ACCEPTED);
                report(running);
            }
            case STOPPING -> {
                answer(Answer.ACCEPTED);
                scheduler.cancel("first", nowMs);
                report(running);
            }
            case ADOPTED -> {
                scheduler = new PoolScheduler();
                scheduler.load(SimJobs.job("first", 0, nowMs, SimJobs.step(1, 4_000, 0, 500)), null, false, nowMs);
                scheduler.beginRecovery(nowMs);
                register(8_000);
                report(running);
            }
        }
    }

    private void answer(@Nullable Answer answer) {
        scheduler.onStartReply("w", FIRST, answer, nowMs);
    }

    @ParameterizedTest
    @EnumSource(Phase.class)
    void should_start_nothing_beyond_a_capacity_that_has_shrunk(Phase phase) {
        // given
        startFirst(phase);

        // when
        register(6_000);
        submit("second", 4_000);
        submit("third", 2_000);

        // then
        assertThat(started()).containsExactly("third");
    }

    @Test
    void should_start_no_gang_that_was_promised_a_capacity_that_has_shrunk() {
        // given
        startFirst(Phase.RUNNING);
        scheduler.submit(SimJobs.job("gang", 0, nowMs, SimJobs.gang(2, 4_000, 0, 500)));
        assertThat(started()).isEmpty();

        // when: the first run ends, which the gang waited for
        register(7_000);
        nowMs += 10;
        EndedRun done = new EndedRun(1, FIRST, RunEnd.DONE, "");
        scheduler.onHoldReply(
                "w",
                scheduler.holdOrder("w", nowMs, 1),
                new WorkerReport(1, nowMs, List.of(), List.of(done)),
                nowMs,
                nowMs);

        // then
        assertThat(started()).isEmpty();
    }

    @Test
    void should_use_a_capacity_that_has_grown_in_the_next_pass() {
        // given
        startFirst(Phase.RUNNING);
        register(4_000);
        submit("second", 4_000);
        assertThat(started()).isEmpty();

        // when
        register(8_000);

        // then
        assertThat(started()).containsExactly("second");
    }
}
