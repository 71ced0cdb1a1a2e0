package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against failures of tasks that are counted against their workers, and of workers against their tasks. */
class FailingStepTest {
    private static final Resources CAPACITY = new Resources(16_000, 32_000, 0);
    /** Longest time for which a job may have nothing running beside room, in milliseconds. */
    private static final long MAX_WAIT_MS = 3_000;

    private static final Resources ONE_CORE = new Resources(1_000, 100, 0);

    private static PoolSimulation pool(int workers) {
        PoolSimulation pool = new PoolSimulation(1);
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, CAPACITY, "r" + i);
        }
        pool.failsAlways = task -> task.jobId().startsWith("hopeless");
        pool.runUntil(1_500);
        return pool;
    }

    private static StepSpec onFirst(StepSpec step) {
        return SimJobs.withLabel(step, "r0");
    }

    /** The failures of one lasting job suspended all workers, again and again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 8})
    void should_start_tasks_on_workers_on_which_others_fail(int workers) {
        // given
        PoolSimulation pool = pool(workers);
        pool.submit(SimJobs.job("hopeless", 0, pool.nowMs, SimJobs.lasting(12, ONE_CORE, 0)));
        pool.submit(SimJobs.job("first", 1, pool.nowMs, SimJobs.step(2, 1_500, 0, 700)));
        pool.runUntil(10_000);

        // when
        pool.submit(SimJobs.job("sound", 1, pool.nowMs, SimJobs.step(2, 1_500, 0, 700)));
        pool.runUntil(pool.nowMs + MAX_WAIT_MS);

        // then
        assertThat(pool.phase("sound")).contains(JobPhase.COMPLETED);
    }

    /**
     * Three failures suffice for a suspension of 4 s; a fourth run may have been started before the third has ended.
     */
    @Test
    void should_find_a_worker_that_fails_whatever_it_starts() {
        // given
        PoolSimulation pool = pool(8);
        SimWorker sick = pool.workers.get("w0");
        sick.failsStarts = true;

        // when
        for (int i = 0; i < 8; i++) {
            pool.submit(SimJobs.job("on-first" + i, 0, pool.nowMs, onFirst(SimJobs.step(1, 1_500, 0, 700))));
            pool.runUntil(pool.nowMs + 400);
        }

        // then
        assertThat(sick.startsWhileFailing).isLessThanOrEqualTo(4);
    }

    /** Only a run that succeeded ended a probation, and a lasting one never does. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_open_a_worker_after_its_fault_beside_a_lasting_task(boolean lastingRunsBefore) {
        // given
        PoolSimulation pool = pool(8);
        SimWorker sick = pool.workers.get("w0");
        if (lastingRunsBefore) {
            pool.submit(SimJobs.job("lasting", 1, pool.nowMs, onFirst(SimJobs.lasting(1, ONE_CORE, 0))));
            pool.runUntil(3_000);
        }
        sick.failsStarts = true;
        pool.submit(SimJobs.job("during", 0, pool.nowMs, onFirst(SimJobs.step(3, 2_000, 0, 500))));
        pool.runUntil(pool.nowMs + 1_000);
        sick.failsStarts = false;
        if (!lastingRunsBefore) {
            pool.submit(SimJobs.job("lasting", 1, pool.nowMs, onFirst(SimJobs.lasting(1, ONE_CORE, 0))));
        }

        // when
        pool.submit(SimJobs.job("after", 0, pool.nowMs, onFirst(SimJobs.step(3, 2_000, 0, 500))));
        pool.runUntil(pool.nowMs + 9_000);

        // then
        assertThat(pool.phase("during")).contains(JobPhase.COMPLETED);
        assertThat(pool.phase("after")).contains(JobPhase.COMPLETED);
        assertThat(pool.history.isRunning(new TaskName("lasting", 0, 0, 0))).isTrue();
    }
}
