package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a task while its first run is at work: a report that the worker made before it
 * executed an order arrives after the answer to the order, and all of this takes less than the clock can show.
 */
class OrderOfEventsTest {
    private static final String WORKER = "w";
    private static final WorkerReport IDLE = new WorkerReport(500, 1_000, List.of(), List.of());

    private final PoolScheduler scheduler = new PoolScheduler();
    private long nowMs = 1_000;

    @BeforeEach
    void answerOnce() {
        scheduler.onWorkerRegistered(
                new WorkerEntry(
                        WORKER,
                        "pool",
                        "10.0.0.1",
                        80,
                        "dc",
                        "r",
                        false,
                        -1,
                        500,
                        new Resources(16_000, 32_000, 0),
                        List.of()),
                nowMs);
        report(hold());
        scheduler.submit(SimJobs.job("a", 0, nowMs, SimJobs.step(1, 1_000, 0, 100)));
    }

    private SentHold hold() {
        return scheduler.holdOrder(WORKER, nowMs, 1);
    }

    private void report(SentHold hold) {
        scheduler.onHoldReply(WORKER, hold, IDLE, nowMs, nowMs);
    }

    private List<Run> starts() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).order().run())
                .toList();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void should_not_take_a_run_for_ended_by_a_report_that_was_requested_before_its_start_was_answered(long answerMs) {
        // given
        SentHold hold = hold();
        Run run = starts().get(0);

        // when
        nowMs += answerMs;
        scheduler.onStartReply(WORKER, run, Answer.ACCEPTED, nowMs);
        report(hold);

        // then
        assertThat(starts()).isEmpty();
    }

    @Test
    void should_not_take_a_start_without_an_answer_for_prevented_by_a_report_that_was_requested_before_the_stop() {
        // given
        Run run = starts().get(0);
        scheduler.onStartReply(WORKER, run, null, nowMs);
        report(hold());
        SentHold hold = hold();

        // when
        scheduler.onStopReply(WORKER, run, Answer.ACCEPTED, nowMs);
        report(hold);

        // then
        assertThat(starts()).isEmpty();
    }

    @Test
    void should_start_a_task_again_once_a_later_report_lacks_its_run() {
        // given
        Run run = starts().get(0);
        scheduler.onStartReply(WORKER, run, Answer.ACCEPTED, nowMs);

        // when
        report(hold());

        // then
        assertThat(starts()).containsExactly(new Run(run.task(), run.attempt() + 1));
    }
}
