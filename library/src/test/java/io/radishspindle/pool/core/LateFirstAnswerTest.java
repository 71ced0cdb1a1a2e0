package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.BOOT_MS;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against leases that outlive the owner's bound, since the first answer of an incarnation comes late. */
class LateFirstAnswerTest {
    private final ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");

    private SentHold hold(String worker) {
        return pool.scheduler.holdOrder(worker, pool.nowMs, 1);
    }

    private void fail(String worker, SentHold hold) {
        pool.scheduler.onHoldFailed(worker, hold.sentAtMs(), pool.nowMs, false);
    }

    private void answer(String worker, SentHold hold, WorkerReport report) {
        pool.scheduler.onHoldReply(worker, hold, report, pool.nowMs, pool.nowMs);
    }

    @Test
    void should_reckon_leases_by_the_clock_of_a_worker_whose_first_answer_is_late() {
        // given an owner whose clock is ahead of the workers'
        pool.nowMs = 1_000_000;
        pool.submitInheritedJob();
        SentHold late = hold("w0");
        pool.nowMs += PoolTiming.HOLD_ANSWER_MS;
        fail("w0", late);

        // when
        pool.nowMs += 500;
        pool.reportIdle("w1", "w2");
        long clockMs = 10_000;
        answer("w0", late, new WorkerReport(BOOT_MS, clockMs, running(run(1)), List.of()));

        // then
        long leaseEndMs = hold("w0").order().leaseEndWorkerMs();
        assertThat(leaseEndMs).isPositive();
        assertThat(leaseEndMs).isLessThanOrEqualTo(clockMs + 1_000 + PoolTiming.LEASE_MS);
    }

    @Test
    void should_reckon_leases_by_the_clock_of_a_restarted_worker_whose_first_answer_is_late() {
        // given
        pool.reportIdle("w0", "w1", "w2");
        pool.submitJob();
        PoolAction.Start start = pool.starts().get(0);
        String worker = start.worker().id();
        Run first = start.order().run();
        pool.scheduler.onStartReply(worker, first, Answer.ACCEPTED, pool.nowMs);
        SentHold late = hold(worker);
        pool.nowMs += 1_600;
        fail(worker, late);

        // when
        pool.nowMs += 500;
        for (String id : List.of("w0", "w1", "w2")) {
            if (!id.equals(worker)) {
                pool.reportIdle(id);
            }
        }
        long clockMs = 700;
        answer(worker, late, new WorkerReport(BOOT_MS + 1_000, clockMs, running(first), List.of()));

        // then
        long leaseEndMs = hold(worker).order().leaseEndWorkerMs();
        assertThat(leaseEndMs).isPositive();
        assertThat(leaseEndMs).isLessThanOrEqualTo(clockMs + 2_100 + PoolTiming.LEASE_MS);
    }

    /** Both are silent after the last of several late answers; the longest lease of a worker is 10 s. */
    @Test
    void should_not_give_up_runs_before_the_lease_that_the_worker_has_taken() {
        // given
        long maxLeaseMs = 10_000;
        pool.nowMs = 1_000_000;
        pool.submitInheritedJob();
        long workerAheadMs = -990_000;
        long leaseEndOnWorkerMs = 0;
        for (int i = 0; i < 8; i++) {
            SentHold hold = hold("w0");
            long takenAtMs = pool.nowMs + 400;
            long clockMs = takenAtMs + workerAheadMs;
            leaseEndOnWorkerMs =
                    Math.max(leaseEndOnWorkerMs, Math.min(hold.order().leaseEndWorkerMs(), clockMs + maxLeaseMs));
            pool.nowMs += PoolTiming.HOLD_ANSWER_MS;
            fail("w0", hold);
            pool.nowMs += 450;
            pool.reportIdle("w1", "w2");
            answer("w0", hold, new WorkerReport(BOOT_MS, clockMs, running(run(1)), List.of()));
        }

        // then
        long leaseEndOnOwnerMs = leaseEndOnWorkerMs - workerAheadMs;
        assertThat(pool.scheduler.leasesEndMs("w0")).isGreaterThanOrEqualTo(leaseEndOnOwnerMs);
    }
}
