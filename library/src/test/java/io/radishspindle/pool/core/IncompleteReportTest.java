package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a succeeded task: a worker reports its unacknowledged ends 500 at a time, so that the
 * end of the first run may be missing from a report.
 */
class IncompleteReportTest {
    private static final List<EndedRun> FULL_PAGE = LongStream.rangeClosed(1, 500)
            .mapToObj(i -> new EndedRun(i, new Run(new TaskName("b", 0, 0, (int) i), 1), RunEnd.DONE, ""))
            .toList();

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_take_a_run_for_ended_that_may_be_among_the_ends_that_a_report_leaves_out(boolean takeover) {
        // given
        ScriptedPool pool = new ScriptedPool("w0", "w1");
        pool.reportIdle("w1");
        if (takeover) {
            pool.scheduler.load(SimJobs.job("a", 0, 0, SimJobs.step(1, 1_000, 0, 100)), null, false, 0);
            pool.scheduler.beginRecovery(pool.nowMs);
        } else {
            pool.reportIdle("w0");
            pool.submitJob();
            PoolAction.Start start = pool.starts().get(0);
            assertThat(start.worker().id()).isEqualTo("w0");
            pool.scheduler.onStartReply("w0", start.order().run(), Answer.ACCEPTED, pool.nowMs);
        }

        // when
        pool.report("w0", new WorkerReport(ScriptedPool.BOOT_MS, 1_000, List.of(), FULL_PAGE, false));

        // then
        assertThat(pool.starts()).isEmpty();
    }
}
