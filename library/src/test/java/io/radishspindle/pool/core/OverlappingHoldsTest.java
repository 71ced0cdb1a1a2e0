package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.BOOT_MS;
import static io.radishspindle.pool.core.ScriptedPool.ended;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a task, and against leases and majorities on outdated evidence, when answers to holds
 * arrive after the holds have failed, and in another order than the worker gave them.
 */
class OverlappingHoldsTest {
    private static final long CLOCK_MS = 1_000_000;
    private static final WorkerReport NOTHING = new WorkerReport(BOOT_MS, CLOCK_MS + 1_000, List.of(), List.of());

    private final ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");
    private String worker = "";
    private Run first = run(1);

    @BeforeEach
    void runTask() {
        pool.reportIdle("w0", "w1", "w2");
        pool.submitJob();
        PoolAction.Start start = pool.starts().get(0);
        worker = start.worker().id();
        first = start.order().run();
        pool.scheduler.onStartReply(worker, first, Answer.ACCEPTED, pool.nowMs);
        report(running(first));
    }

    private void report(List<WorkerReport.RunningTask> running) {
        pool.report(worker, running, List.of());
    }

    private SentHold hold() {
        return pool.scheduler.holdOrder(worker, pool.nowMs, 1);
    }

    private void fail(SentHold hold) {
        pool.scheduler.onHoldFailed(worker, hold.sentAtMs(), pool.nowMs, false);
    }

    private ReportOrder answer(SentHold hold, WorkerReport report) {
        return pool.scheduler.onHoldReply(worker, hold, report, pool.nowMs, pool.nowMs);
    }

    private WorkerReport at(long clockMs, List<WorkerReport.RunningTask> running) {
        return new WorkerReport(BOOT_MS, clockMs, running, List.of());
    }

    private void reportOthers() {
        for (String id : List.of("w0", "w1", "w2")) {
            if (!id.equals(worker)) {
                pool.reportIdle(id);
            }
        }
    }

    /** The holds of a worker that doesn't answer, until all of its leases have expired. */
    private void failUntilExpiry() {
        for (long endMs = pool.scheduler.leasesEndMs(worker) + 1_000; pool.nowMs < endMs; pool.nowMs += 400) {
            fail(hold());
            reportOthers();
            pool.starts();
        }
    }

    @Test
    void should_apply_an_end_in_a_late_answer() {
        // given
        SentHold late = hold();
        pool.nowMs += 1_600;
        fail(late);

        // when
        pool.nowMs += 2_000;
        answer(late, new WorkerReport(BOOT_MS, CLOCK_MS + pool.nowMs, List.of(), ended(first, RunEnd.DONE)));
        failUntilExpiry();

        // then
        assertThat(pool.starts()).isEmpty();
        pool.scheduler.progress().onWritten(pool.scheduler.progress().take(10, Set.of()));
        assertThat(pool.scheduler.phase("a")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_not_take_a_run_for_running_by_an_older_report_that_arrives_after_its_end() {
        // given
        SentHold older = hold();
        pool.nowMs += 1_600;
        fail(older);
        SentHold newer = hold();
        long olderClockMs = CLOCK_MS + pool.nowMs;
        pool.nowMs += 100;
        answer(newer, new WorkerReport(BOOT_MS, CLOCK_MS + pool.nowMs, List.of(), ended(first, RunEnd.STOPPED)));
        List<PoolAction.Start> second = pool.starts();
        assertThat(second).hasSize(1);

        // when
        pool.nowMs += 100;
        assertThat(answer(older, at(olderClockMs, running(first)))).isEqualTo(ReportOrder.OLDER);

        // then the worker has room for one run, which is the second one
        assertThat(pool.scheduler.workerStates().stream()
                        .mapToInt(state -> state.runs.size())
                        .sum())
                .isEqualTo(1);
    }

    @Test
    void should_place_a_report_by_the_clock_of_its_worker_if_the_hold_was_carried_out_after_a_later_one() {
        // given
        SentHold delayed = hold();
        pool.nowMs += 1_600;
        fail(delayed);
        SentHold prompt = hold();

        // when
        pool.nowMs += 10;
        answer(prompt, at(CLOCK_MS + pool.nowMs, running(first)));
        pool.nowMs += 500;
        WorkerReport report = new WorkerReport(BOOT_MS, CLOCK_MS + pool.nowMs, List.of(), ended(first, RunEnd.DONE));

        // then
        assertThat(answer(delayed, report)).isEqualTo(ReportOrder.NEWEST);
        assertThat(pool.starts()).isEmpty();
    }

    @Test
    void should_not_release_runs_by_a_late_answer_of_an_earlier_incarnation() {
        // given
        SentHold older = hold();
        pool.nowMs += 1_600;
        fail(older);
        SentHold newer = hold();
        long boot = BOOT_MS + 1_000;
        pool.nowMs += 100;
        answer(newer, new WorkerReport(boot, 100, running(first), List.of()));

        // when
        pool.nowMs += 100;
        ReportOrder order = answer(older, NOTHING);

        // then
        assertThat(order).isEqualTo(ReportOrder.OTHER_INCARNATION);
        assertThat(pool.starts()).isEmpty();
        assertThat(answer(hold(), new WorkerReport(boot, 300, running(first), List.of())))
                .isEqualTo(ReportOrder.NEWEST);
    }

    @Test
    void should_ignore_a_late_answer_of_a_worker_whose_address_another_one_has() {
        // given
        SentHold late = hold();
        pool.nowMs += 1_600;
        fail(late);
        pool.scheduler.onWorkerReplaced(pool.scheduler.worker(worker).orElseThrow(), pool.nowMs, pool.nowMs);

        // when
        ReportOrder order = answer(late, at(CLOCK_MS + pool.nowMs, running(first)));

        // then
        assertThat(order).isEqualTo(ReportOrder.OTHER_INCARNATION);
        assertThat(pool.scheduler.workerStates().stream()
                        .mapToInt(state -> state.runs.size())
                        .sum())
                .isZero();
    }

    @Test
    void should_start_nothing_on_a_worker_that_answers_late_only() {
        // given
        SentHold late = hold();
        pool.nowMs += 1_600;
        fail(late);
        fail(hold());

        // when
        pool.nowMs += 100;
        answer(late, new WorkerReport(BOOT_MS, CLOCK_MS + pool.nowMs, List.of(), ended(first, RunEnd.STOPPED)));

        // then
        assertThat(pool.starts()).extracting(start -> start.worker().id()).doesNotContain(worker);
    }

    /** A late answer shows that the worker is alive, so that its runs go on, but each one allows for one lease. */
    @Test
    void should_renew_the_lease_once_for_each_late_answer() {
        // given
        SentHold late = hold();
        pool.nowMs += 1_600;
        fail(late);
        SentHold withoutLease = hold();
        fail(withoutLease);
        assertThat(withoutLease.order().leaseEndWorkerMs()).isZero();

        // when
        pool.nowMs += 1_000;
        reportOthers();
        answer(late, at(CLOCK_MS + pool.nowMs - 1_000, running(first)));

        // then
        assertThat(hold().order().leaseEndWorkerMs()).isPositive();
        assertThat(hold().order().leaseEndWorkerMs()).isZero();
    }

    /** The worker's clock in a late answer is behind by the delay, and so would be the expiry of a lease. */
    @Test
    void should_grant_a_whole_lease_after_a_late_answer() {
        // given
        SentHold late = hold();
        long madeMs = pool.nowMs;
        pool.nowMs += 1_600;
        fail(late);

        // when
        pool.nowMs += 2_000;
        reportOthers();
        answer(late, at(CLOCK_MS + madeMs, running(first)));

        // then the worker's clock is known to 2% of the time since the last answer in time
        long wholeMs = CLOCK_MS + pool.nowMs + PoolTiming.LEASE_MS;
        assertThat(hold().order().leaseEndWorkerMs()).isBetween(wholeMs - 3_600 / 50, wholeMs);
    }

    /**
     * Guards against a lease that outlives the recovery of the next owner: an earlier reading of a slow clock runs
     * ahead of it, and is kept while all answers are late.
     */
    @Test
    void should_grant_no_lease_longer_than_the_usual_one_on_a_slow_clock_that_was_read_long_ago() {
        long startMs = pool.nowMs;
        for (int i = 0; i < 30; i++) {
            // given
            SentHold late = hold();
            pool.nowMs += 1_600;
            fail(late);
            pool.nowMs += 1_400;
            reportOthers();

            // when
            double slowMs = CLOCK_MS + startMs + (pool.nowMs - startMs) * PoolTiming.MIN_CLOCK_RATE;
            answer(late, at((long) slowMs - 1_000, running(first)));
            long leaseEndMs = hold().order().leaseEndWorkerMs();

            // then
            assertThat(leaseEndMs - slowMs).isBetween(PoolTiming.LEASE_MS - 10.0, (double) PoolTiming.LEASE_MS);
        }
    }

    /** Guards against leases of the longest kind, which an expiry on the clock of an earlier incarnation grants. */
    @Test
    void should_use_the_clock_of_a_new_incarnation_that_answers_late() {
        // given
        SentHold late = hold();
        pool.nowMs += 1_600;
        fail(late);

        // when
        pool.nowMs += 100;
        reportOthers();
        answer(late, new WorkerReport(BOOT_MS + 1_000, 300, running(first), List.of()));

        // then
        assertThat(hold().order().leaseEndWorkerMs()).isEqualTo(300 + PoolTiming.LEASE_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 400})
    void should_not_count_a_late_answer_for_the_majority_longer_than_from_the_sending_of_its_hold(long laterMs) {
        // given holds to all workers, of which only one is answered in time
        SentHold late = hold();
        pool.nowMs += PoolTiming.CONFIRMATION_MS - 200;
        fail(late);

        // when
        answer(late, at(CLOCK_MS + pool.nowMs, running(first)));
        pool.report(worker.equals("w0") ? "w1" : "w0", List.of(), List.of());
        pool.nowMs += laterMs;

        // then two of three workers are needed
        assertThat(pool.scheduler.hasQuorum(pool.nowMs)).isEqualTo(laterMs == 0);
    }
}
