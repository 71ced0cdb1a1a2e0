package io.radishspindle.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against a checker that overlooks a breach or reports one that is none. */
class HistoryCheckerTest {
    private static final Resources HALF = new Resources(600, 600, 0);
    private static final JobSpec JOB = new JobSpec("j", "t", "f", JobClass.BATCH, 1, HALF, 1, 1, Map.of());
    private static final TaskAttempt FIRST = new TaskAttempt(new TaskId("j", 0), 1, 1);
    private static final TaskAttempt SECOND = new TaskAttempt(new TaskId("j", 0), 2, 1);
    private static final TaskAttempt OTHER = new TaskAttempt(new TaskId("k", 0), 1, 2);
    private static final HistoryEvent UP1 = new HistoryEvent.WorkerUp(0, "w1", new Resources(1_000, 1_000, 0));
    private static final HistoryEvent UP2 = new HistoryEvent.WorkerUp(0, "w2", new Resources(1_000, 1_000, 0));

    @Test
    void should_find_a_task_in_two_places() {
        assertBreach(HistoryChecker.Rule.TWO_PLACES, started(1, "w1", FIRST), started(2, "w2", SECOND));
    }

    @Test
    void should_accept_a_task_that_moved_after_a_pause_past_the_lease() {
        assertClean(
                started(1, "w1", FIRST),
                started(20, "w2", SECOND),
                new HistoryEvent.WorkerPaused(30, "w1", 5),
                ended(30, "w1", FIRST, TaskOutcome.LEASE_EXPIRED));
    }

    @Test
    void should_find_a_task_that_went_on_after_a_pause_while_another_attempt_ran() {
        assertBreach(
                HistoryChecker.Rule.TWO_PLACES,
                started(1, "w1", FIRST),
                started(20, "w2", SECOND),
                new HistoryEvent.WorkerPaused(30, "w1", 5),
                ended(400, "w1", FIRST, TaskOutcome.SUCCEEDED));
    }

    @Test
    void should_accept_a_task_that_moved_while_its_worker_was_paused_until_it_was_killed() {
        assertClean(
                started(1, "w1", FIRST),
                started(20, "w2", SECOND),
                new HistoryEvent.WorkerPaused(30, "w1", 5),
                new HistoryEvent.WorkerDied(30, "w1"));
    }

    @Test
    void should_find_a_task_that_moved_before_its_worker_was_killed() {
        assertBreach(
                HistoryChecker.Rule.TWO_PLACES,
                started(1, "w1", FIRST),
                new HistoryEvent.WorkerPaused(10, "w1", 5),
                started(20, "w2", SECOND),
                new HistoryEvent.WorkerDied(30, "w1"));
    }

    @Test
    void should_find_an_overfull_worker() {
        assertBreach(HistoryChecker.Rule.OVERFULL, started(1, "w1", FIRST), started(2, "w1", OTHER));
    }

    @Test
    void should_accept_a_worker_that_is_filled_again_after_an_end() {
        assertClean(started(1, "w1", FIRST), ended(2, "w1", FIRST, TaskOutcome.STOPPED), started(2, "w1", OTHER));
    }

    @Test
    void should_find_a_lost_job() {
        assertBreach(
                HistoryChecker.Rule.LOST_JOB,
                new HistoryEvent.Submitted(1, JOB),
                new HistoryEvent.Answered(2, "j", HistoryEvent.Verdict.ACCEPTED),
                started(3, "w1", FIRST),
                ended(4, "w1", FIRST, TaskOutcome.LEASE_EXPIRED));
    }

    @Test
    void should_accept_a_cancelled_job_that_did_not_finish() {
        assertClean(
                new HistoryEvent.Submitted(1, JOB),
                new HistoryEvent.Answered(2, "j", HistoryEvent.Verdict.ACCEPTED),
                new HistoryEvent.CancelSent(3, "j"));
    }

    @Test
    void should_find_a_rerun_after_an_acknowledged_success() {
        assertBreach(
                HistoryChecker.Rule.RERUN,
                started(1, "w1", FIRST),
                ended(2, "w1", FIRST, TaskOutcome.SUCCEEDED),
                new HistoryEvent.Acknowledged(3, "w1", FIRST),
                new HistoryEvent.WorkerDied(4, "w1"),
                started(5, "w2", SECOND));
    }

    @Test
    void should_find_a_rerun_after_a_success_at_a_worker_in_good_order() {
        assertBreach(
                HistoryChecker.Rule.RERUN,
                started(1, "w1", FIRST),
                ended(2, "w1", FIRST, TaskOutcome.SUCCEEDED),
                started(5, "w2", SECOND));
    }

    @Test
    void should_accept_a_rerun_after_a_success_that_died_with_its_worker() {
        assertClean(
                started(1, "w1", FIRST),
                ended(2, "w1", FIRST, TaskOutcome.SUCCEEDED),
                new HistoryEvent.WorkerDied(4, "w1"),
                started(5, "w2", SECOND));
    }

    @Test
    void should_find_a_refused_job_that_ran() {
        assertBreach(
                HistoryChecker.Rule.RAN_THOUGH_REFUSED,
                new HistoryEvent.Submitted(1, JOB),
                new HistoryEvent.Answered(2, "j", HistoryEvent.Verdict.NOT_RUN),
                started(3, "w1", FIRST));
    }

    private static void assertBreach(HistoryChecker.Rule rule, HistoryEvent... events) {
        assertThat(check(events)).extracting(HistoryChecker.Breach::rule).containsExactly(rule);
    }

    private static void assertClean(HistoryEvent... events) {
        assertThat(check(events)).isEmpty();
    }

    private static List<HistoryChecker.Breach> check(HistoryEvent... events) {
        java.util.ArrayList<HistoryEvent> all = new java.util.ArrayList<>(List.of(UP1, UP2));
        all.addAll(List.of(events));
        return HistoryChecker.check(all);
    }

    private static HistoryEvent started(long at, String worker, TaskAttempt attempt) {
        return new HistoryEvent.Started(at, worker, attempt, HALF);
    }

    private static HistoryEvent ended(long at, String worker, TaskAttempt attempt, TaskOutcome outcome) {
        return new HistoryEvent.Ended(at, worker, attempt, outcome);
    }
}
