package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against an owner that sends orders after its ownership has expired: it was paused for some seconds and
 * resumes with answers from before the pause. Workers can't always reject it, as a worker that has restarted meanwhile
 * has no fencing token.
 */
class PausedOwnerTest {
    private static final WorkerEntry WORKER = new WorkerEntry(
            "w", "pool", "10.0.0.1", 80, "dc", "r", false, -1, 500, new Resources(16_000, 32_000, 0), List.of("a"));
    private static final WorkerReport IDLE = new WorkerReport(500, 1_000, List.of(), List.of());

    private final PoolScheduler scheduler = new PoolScheduler();
    private long nowMs = 1_000;

    @BeforeEach
    void answerOnce() {
        scheduler.onWorkerRegistered(WORKER, nowMs);
        scheduler.onHoldReply("w", scheduler.holdOrder("w", nowMs, 1), IDLE, nowMs, nowMs);
        scheduler.submit(SimJobs.job("a", 0, nowMs, SimJobs.step(1, 1_000, 0, 100)));
    }

    private long starts() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .count();
    }

    @Test
    void should_start_nothing_after_a_pause_until_a_worker_answers_again() {
        // given
        scheduler.invalidateEarlierAnswers(nowMs);

        // then
        assertThat(scheduler.hasQuorum(nowMs)).isFalse();
        assertThat(starts()).isZero();
    }

    @Test
    void should_not_trust_an_answer_to_a_hold_from_before_the_pause() {
        // given
        long sentAtMs = nowMs;
        nowMs += 5_000;
        scheduler.invalidateEarlierAnswers(nowMs);

        // when
        scheduler.onHoldReply("w", scheduler.holdOrder("w", sentAtMs, 1), IDLE, nowMs, nowMs);

        // then
        assertThat(starts()).isZero();
    }

    @Test
    void should_resume_with_an_answer_to_a_later_hold() {
        // given
        scheduler.invalidateEarlierAnswers(nowMs);

        // when
        scheduler.onHoldReply("w", scheduler.holdOrder("w", nowMs, 1), IDLE, nowMs + 5, nowMs + 5);
        nowMs += 5;

        // then
        assertThat(starts()).isEqualTo(1);
    }

    @Test
    void should_keep_trusting_an_answer_to_a_later_hold_when_one_from_before_the_pause_comes_late() {
        // given
        SentHold before = scheduler.holdOrder("w", nowMs, 1);
        nowMs += 5_000;
        scheduler.invalidateEarlierAnswers(nowMs);
        scheduler.onHoldReply("w", scheduler.holdOrder("w", nowMs, 1), IDLE, nowMs, nowMs);

        // when
        scheduler.onHoldReply("w", before, IDLE, nowMs, nowMs);

        // then
        assertThat(scheduler.hasQuorum(nowMs)).isTrue();
        assertThat(starts()).isEqualTo(1);
    }
}
