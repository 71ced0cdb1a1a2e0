package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.ended;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.core.ProgressLedger.Batch;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.WorkerReport;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an end that is dropped before the owner has heard of it: the worker restarts under its id and numbers
 * its ends anew, while a write covers ends of its earlier incarnation.
 */
class ReplacedWorkerAcknowledgementTest {
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_acknowledge_nothing_to_an_incarnation_whose_ends_were_not_written(boolean addressWasReused) {
        // given
        ScriptedPool pool = new ScriptedPool("w0", "w1");
        pool.reportIdle("w0", "w1");
        pool.submitJob();
        pool.starts();
        pool.report("w0", List.of(), ended(run(1), RunEnd.DONE));
        Batch batch = pool.scheduler.progress().take(1, Set.of());

        // when
        if (addressWasReused) {
            pool.scheduler.onWorkerReplaced(pool.scheduler.worker("w0").orElseThrow(), pool.nowMs, pool.nowMs);
        }
        pool.scheduler.progress().onWritten(batch);
        pool.report("w0", new WorkerReport(ScriptedPool.BOOT_MS + 100, 100, List.of(), List.of()));

        // then
        assertThat(pool.scheduler.holdOrder("w0", pool.nowMs, 1).order().acknowledged())
                .isZero();
    }
}
