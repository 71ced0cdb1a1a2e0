package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.ended;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.RunEnd;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a second run of a task under a new owner: the job was stored after the new owner had listed the jobs,
 * and the old owner has started it before a worker rejected its orders.
 */
class JobOfEarlierOwnerTest {
    /** What the worker of the first run has told before the new owner learns of the job. */
    private enum FirstRun {
        RUNNING,
        DONE,
        NOT_REPORTED
    }

    @ParameterizedTest
    @EnumSource
    void should_not_start_a_task_that_the_earlier_owner_may_have_started_after_the_jobs_were_listed(FirstRun first) {
        // given an old owner that has a majority by earlier answers, and whose order reaches w0 before the new owner
        ScriptedPool old = new ScriptedPool("w0", "w1", "w2");
        old.reportIdle("w0", "w1", "w2");
        old.submitJob();
        PoolAction.Start start = old.starts().get(0);
        assertThat(start.worker().id()).isEqualTo("w0");
        ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");
        pool.scheduler.beginRecovery(pool.nowMs);
        pool.reportIdle("w1", "w2");
        if (first == FirstRun.RUNNING) {
            pool.report("w0", running(start.order().run()), List.of());
        } else if (first == FirstRun.DONE) {
            pool.report("w0", List.of(), ended(start.order().run(), RunEnd.DONE));
        }

        // when
        pool.submitInheritedJob();

        // then
        assertThat(pool.starts()).isEmpty();
    }
}
