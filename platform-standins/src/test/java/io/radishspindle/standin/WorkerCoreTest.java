package io.radishspindle.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.platform.WorkerClient.Command;
import io.radishspindle.platform.WorkerClient.ControlReply;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Finished;
import io.radishspindle.platform.WorkerClient.Mode;
import io.radishspindle.platform.WorkerClient.Order;
import io.radishspindle.platform.WorkerClient.Refused;
import io.radishspindle.platform.WorkerClient.Running;
import io.radishspindle.platform.WorkerClient.Start;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards the worker stand-in against obeying whom it must not, and against running what it may not. Virtual time. */
class WorkerCoreTest {
    private static final long CONTROL_LEASE_MS = 3_000;
    private static final long RUN_LEASE_MS = 6_000;
    private static final Resources CAPACITY = new Resources(4_000, 4_096, 1);

    private final WorkerCore core =
            new WorkerCore(new WorkerCore.Options(CAPACITY, 100, 50, 0), new IgnoringRecorder(), 1_000);
    private long nowMs = 1_000;
    private long sequence;

    @Test
    void should_run_a_task_and_report_its_end_until_acknowledged() {
        // given
        TaskAttempt attempt = attempt("j", 1, 1);
        claim(1, 0, "a");
        control(1, "a", start(attempt, 1_000, 200));
        // when
        passTime(200);
        ControlReply first = control(1, "a");
        ControlReply second = send(Mode.CONTROL, 1, 0, "a", nowMs, List.of(), List.of(), List.of(attempt));
        // then
        Finished expected = new Finished(attempt, TaskOutcome.SUCCEEDED, "");
        assertThat(first.finished()).containsExactly(expected);
        assertThat(second.finished()).isEmpty();
    }

    /** A restarted worker that obeyed a delayed claim of an old epoch would give its owner a majority again. */
    @Test
    void should_refuse_everything_for_a_time_after_the_start() {
        // given
        var restarted = new WorkerCore(new WorkerCore.Options(CAPACITY, 100, 50, 4_000), new IgnoringRecorder(), 1_000);
        var claim = new ControlRequest(
                Mode.CLAIM, 1, 0, "a", 1, 0, CONTROL_LEASE_MS, RUN_LEASE_MS, List.of(), List.of(), List.of());
        // when
        ControlReply early = restarted.control(4_999, claim);
        ControlReply late = restarted.control(5_000, claim);
        // then
        assertThat(early.accepted()).isFalse();
        assertThat(late.accepted()).isTrue();
    }

    /** A restarted worker must not count for the majority of a caretaker whose epoch may be outdated. */
    @Test
    void should_refuse_a_term_of_an_epoch_that_it_does_not_know() {
        // when
        ControlReply reply = claim(3, 1, "caretaker");
        // then
        assertThat(reply.accepted()).isFalse();
        assertThat(reply.epoch()).isZero();
    }

    @Test
    void should_refuse_a_lower_epoch_and_change_nothing() {
        // given
        claim(2, 0, "b");
        // when
        ControlReply reply = control(1, "a", start(attempt("j", 1, 1), 1_000, 200));
        // then
        assertThat(reply.accepted()).isFalse();
        assertThat(reply.epoch()).isEqualTo(2);
        assertThat(claim(2, 0, "b").running()).isEmpty();
    }

    @Test
    void should_refuse_an_older_sequence() {
        // given
        claim(1, 0, "a");
        long older = sequence;
        control(1, "a");
        // when
        sequence = older - 1;
        ControlReply reply = control(1, "a");
        // then
        assertThat(reply.accepted()).isFalse();
    }

    @Test
    void should_not_obey_a_holder_that_has_not_claimed() {
        // when a worker that restarted hears from its owner
        ControlReply reply = control(1, "a", start(attempt("j", 1, 1), 1_000, 200));
        // then
        assertThat(reply.accepted()).isFalse();
        assertThat(reply.epoch()).isZero();
    }

    @Test
    void should_grant_a_term_only_after_the_control_lease_lapsed() {
        // given
        claim(1, 0, "a");
        control(1, "a");
        // when
        passTime(CONTROL_LEASE_MS - 1);
        ControlReply early = claim(1, 1, "b");
        passTime(1);
        ControlReply later = claim(1, 1, "b");
        // then
        assertThat(early.accepted()).isFalse();
        assertThat(later.accepted()).isTrue();
        assertThat(later.holder()).isEqualTo("b");
    }

    @Test
    void should_count_leases_from_the_echoed_time() {
        // given a message that was under way for longer than the control lease
        claim(1, 0, "a");
        long echoedMs = nowMs;
        passTime(CONTROL_LEASE_MS);
        // when
        ControlReply reply = send(
                Mode.CONTROL, 1, 0, "a", echoedMs, List.of(start(attempt("j", 1, 1), 1_000, 9)), List.of(), List.of());
        // then
        assertThat(reply.refused()).extracting(Refused::reason).containsExactly("no valid lease");
    }

    @Test
    void should_not_extend_a_lease_by_a_claim_or_an_echo_from_the_future() {
        // given
        claim(1, 0, "a");
        send(Mode.CONTROL, 1, 0, "a", nowMs + 50_000, List.of(), List.of(), List.of());
        // when
        ControlReply reply =
                send(Mode.CONTROL, 1, 0, "a", 0, List.of(start(attempt("j", 1, 1), 1_000, 9)), List.of(), List.of());
        // then
        assertThat(reply.refused()).hasSize(1);
    }

    @Test
    void should_stop_all_tasks_first_when_the_run_lease_lapsed_in_a_pause() {
        // given
        TaskAttempt attempt = attempt("j", 1, 1);
        claim(1, 0, "a");
        control(1, "a", start(attempt, 1_000, 500));
        // when the process resumes and a message is the first thing that it sees
        nowMs += RUN_LEASE_MS;
        ControlReply reply = claim(2, 0, "b");
        // then
        assertThat(reply.running()).isEmpty();
        assertThat(reply.finished()).extracting(Finished::outcome).containsExactly(TaskOutcome.LEASE_EXPIRED);
    }

    @Test
    void should_keep_tasks_running_under_renewals_of_a_caretaker_that_starts_nothing() {
        // given
        claim(1, 0, "a");
        control(1, "a", start(attempt("j", 1, 1), 1_000, 60_000));
        passTime(CONTROL_LEASE_MS);
        claim(1, 1, "b");
        // when
        for (int i = 0; i < 10; i++) {
            send(Mode.RENEW, 1, 1, "b", nowMs, List.of(start(attempt("k", 1, 1), 1, 1)), List.of(), List.of());
            passTime(1_000);
        }
        // then
        assertThat(claim(2, 0, "c").running()).extracting(Running::attempt).containsExactly(attempt("j", 1, 1));
    }

    @Test
    void should_refuse_what_does_not_fit_and_a_second_attempt_of_a_running_task() {
        // given
        claim(1, 0, "a");
        // when
        ControlReply reply = control(
                1,
                "a",
                start(attempt("j", 1, 1), 3_000, 500),
                start(attempt("j", 1, 2), 1, 500),
                start(attempt("k", 1, 1), 1_001, 500),
                start(attempt("l", 1, 1), 1_000, 500));
        // then
        assertThat(reply.refused())
                .extracting(Refused::attempt)
                .containsExactly(attempt("j", 1, 2), attempt("k", 1, 1));
    }

    @Test
    void should_start_a_repeated_attempt_only_once() {
        // given
        claim(1, 0, "a");
        control(1, "a", start(attempt("j", 1, 1), 3_000, 100));
        passTime(100);
        // when
        ControlReply reply = control(1, "a", start(attempt("j", 1, 1), 3_000, 100));
        // then
        assertThat(reply.refused()).isEmpty();
        assertThat(claim(1, 0, "a").running()).isEmpty();
    }

    @Test
    void should_stop_checkpoint_and_throttle_on_order() {
        // given
        claim(1, 0, "a");
        TaskAttempt stopped = attempt("stopped", 1, 1);
        TaskAttempt saved = attempt("saved", 1, 1);
        TaskAttempt slowed = attempt("slowed", 1, 1);
        control(1, "a", start(stopped, 1, 500), start(saved, 1, 500), start(slowed, 1, 200));
        List<Order> orders = List.of(
                new Order(stopped, Command.STOP),
                new Order(saved, Command.CHECKPOINT_AND_STOP),
                new Order(slowed, Command.THROTTLE));
        // when
        ControlReply atOnce = send(Mode.CONTROL, 1, 0, "a", nowMs, List.of(), orders, List.of());
        passTime(200);
        ControlReply later = claim(1, 0, "a");
        // then
        assertThat(atOnce.finished()).extracting(Finished::attempt).containsExactly(stopped);
        assertThat(later.finished()).extracting(Finished::attempt).containsExactly(stopped, saved);
        assertThat(later.running()).extracting(Running::runningMs).containsExactly(100L);
    }

    @Test
    void should_fail_every_task_when_told_so() {
        // given
        core.setFailAll(true);
        claim(1, 0, "a");
        control(1, "a", start(attempt("j", 1, 1), 1, 10_000));
        // when
        passTime(20);
        // then
        assertThat(control(1, "a").finished()).extracting(Finished::outcome).containsExactly(TaskOutcome.FAILED);
    }

    private void passTime(long durationMs) {
        long untilMs = nowMs + durationMs;
        while (nowMs < untilMs) {
            nowMs = Math.min(untilMs, nowMs + 20);
            core.advance(nowMs);
        }
    }

    private ControlReply claim(long epoch, long term, String holder) {
        return send(Mode.CLAIM, epoch, term, holder, 0, List.of(), List.of(), List.of());
    }

    private ControlReply control(long epoch, String holder, Start... starts) {
        return send(Mode.CONTROL, epoch, 0, holder, nowMs, List.of(starts), List.of(), List.of());
    }

    private ControlReply send(
            Mode mode,
            long epoch,
            long term,
            String holder,
            long echoedMs,
            List<Start> starts,
            List<Order> orders,
            List<TaskAttempt> acknowledged) {
        sequence++;
        return core.control(
                nowMs,
                new ControlRequest(
                        mode,
                        epoch,
                        term,
                        holder,
                        sequence,
                        echoedMs,
                        CONTROL_LEASE_MS,
                        RUN_LEASE_MS,
                        starts,
                        orders,
                        acknowledged));
    }

    private static Start start(TaskAttempt attempt, long milliCores, long runMs) {
        return new Start(attempt, new Resources(milliCores, 1, 0), runMs, Map.of());
    }

    private static TaskAttempt attempt(String job, long epoch, int number) {
        return new TaskAttempt(new TaskId(job, 0), epoch, number);
    }

    private static final class IgnoringRecorder implements WorkerCore.Recorder {
        @Override
        public void started(TaskAttempt attempt, Resources resources) {}

        @Override
        public void ended(TaskAttempt attempt, Resources resources, TaskOutcome outcome) {}

        @Override
        public void paused(long durationMs) {}
    }
}
