package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.ended;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.RunEnd;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a further run of a task of which a new owner finds two runs: the one being stopped may succeed. */
class UnneededRunTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_start_a_task_whose_other_run_has_succeeded_or_is_still_being_stopped(boolean succeeded) {
        // given
        ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");
        pool.scheduler.load(SimJobs.job("a", 0, 0, SimJobs.step(1, 1_000, 0, 100)), null, false, 0);
        pool.scheduler.beginRecovery(pool.nowMs);
        pool.reportIdle("w2");
        pool.report("w0", running(run(1)), List.of());
        pool.report("w1", running(run(2)), List.of());

        // when
        if (succeeded) {
            pool.report("w1", List.of(), ended(run(2), RunEnd.DONE));
        }
        pool.report("w0", List.of(), ended(run(1), RunEnd.STOPPED));

        // then
        assertThat(pool.starts()).isEmpty();
    }
}
