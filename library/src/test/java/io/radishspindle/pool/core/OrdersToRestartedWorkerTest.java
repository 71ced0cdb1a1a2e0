package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.BOOT_MS;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second run of a task whose first run started after a restart of the worker under its id: the worker
 * has forgotten the stops that it had accepted, and its clock begins anew.
 */
class OrdersToRestartedWorkerTest {
    /** Longest lease that a worker grants, in milliseconds; an expiry on the earlier clock is shortened to it. */
    private static final long MAX_LEASE_MS = 10_000;

    private final ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");
    private String worker = "";
    private Run run = ScriptedPool.run(1);

    @BeforeEach
    void start() {
        pool.reportIdle("w0", "w1", "w2");
        pool.submitJob();
        PoolAction.Start start = pool.starts().get(0);
        worker = start.worker().id();
        run = start.order().run();
    }

    private void reportRestarted(List<WorkerReport.RunningTask> running) {
        pool.report(worker, new WorkerReport(BOOT_MS + 100, 100, running, List.of()));
    }

    @Test
    void should_not_take_a_late_start_for_prevented_by_a_stop_that_an_earlier_incarnation_accepted() {
        // given
        pool.scheduler.onStartReply(worker, run, null, pool.nowMs);
        pool.report(worker, List.of(), List.of());
        pool.starts();
        pool.scheduler.onStopReply(worker, run, Answer.ACCEPTED, pool.nowMs);

        // when
        reportRestarted(List.of());

        // then
        assertThat(pool.starts()).isEmpty();
    }

    @Test
    void should_wait_for_the_longest_lease_if_its_expiry_was_sent_on_the_clock_of_an_earlier_incarnation() {
        // given
        pool.scheduler.onStartReply(worker, run, Answer.ACCEPTED, pool.nowMs);
        reportRestarted(running(run));

        // when no other hold is answered
        long endMs = pool.nowMs + MAX_LEASE_MS;
        for (; pool.nowMs < endMs; pool.nowMs += 500) {
            pool.scheduler.onHoldFailed(worker, pool.nowMs, pool.nowMs, false);
            for (String id : List.of("w0", "w1", "w2")) {
                if (!id.equals(worker)) {
                    pool.reportIdle(id);
                }
            }

            // then
            assertThat(pool.starts()).isEmpty();
        }
    }
}
