package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.ended;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a second run of a succeeded task: a worker rejects a start as outdated since a run ended there of
 * which the owner has not heard.
 */
class OutdatedStartTest {
    @ParameterizedTest
    @CsvSource({"true, 0", "false, 1"})
    void should_start_an_outdated_task_only_after_a_report_has_told_what_ended_there(
            boolean hadSucceeded, int startsAfter) {
        // given
        ScriptedPool pool = new ScriptedPool("w0", "w1");
        pool.reportIdle("w0", "w1");
        pool.submitJob();
        PoolAction.Start start = pool.starts().get(0);

        // when
        pool.scheduler.onStartReply(start.worker().id(), start.order().run(), Answer.OUTDATED, pool.nowMs);

        // then
        assertThat(pool.starts()).isEmpty();
        pool.report(start.worker().id(), List.of(), hadSucceeded ? ended(run(2), RunEnd.DONE) : List.of());
        assertThat(pool.starts()).hasSize(startsAfter);
    }
}
