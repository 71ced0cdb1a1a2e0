package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a task that crashes one worker after the other: the end of a run with its worker counted as no
 * attempt, so that nothing limited its starts.
 */
class CrashingTaskTest {
    private static final long END_MS = 40_000;

    private static PoolSimulation pool(long seed, int workers) {
        PoolSimulation pool = new PoolSimulation(seed);
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, new Resources(16_000, 32_000, 8), "r" + i / 3);
        }
        return pool;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void should_give_up_a_task_that_crashes_every_worker_that_starts_it(long seed) {
        // given
        PoolSimulation pool = pool(seed, 8);
        pool.crashesWorker = task -> task.jobId().equals("deadly") && task.index() == 0;
        pool.runUntil(2_000);

        // when
        pool.submit(SimJobs.job("sound", 0, pool.nowMs, SimJobs.step(20, 1_500, 0, 700)));
        pool.submit(SimJobs.job("deadly", 0, pool.nowMs, SimJobs.step(6, 1_500, 0, 700)));
        pool.runUntil(END_MS);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(pool.phase("deadly")).contains(JobPhase.FAILED);
        assertThat(pool.phase("sound")).contains(JobPhase.COMPLETED);
    }
}
