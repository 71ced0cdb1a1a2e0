package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.TaskName;
import org.junit.jupiter.api.Test;

/** Guards the waiting times of urgent and wide work under the load patterns that the test names say. */
class LoadPatternsTest {
    private final PoolSimulation pool = new PoolSimulation(11);

    private void addWorkers(int count, long milliCores, int accelerators) {
        for (int i = 0; i < count; i++) {
            pool.addWorker("w" + i, new Resources(milliCores, 64_000, accelerators), "r" + i / 3);
        }
        pool.runUntil(1_500);
    }

    private long firstStart(String job, int tasks) {
        long last = 0;
        for (int i = 0; i < tasks; i++) {
            last = Math.max(last, pool.history.firstStartMs.getOrDefault(new TaskName(job, 0, 0, i), Long.MAX_VALUE));
        }
        return last;
    }

    @Test
    void burst_of_batch_before_an_urgent_job_should_not_delay_it_beyond_a_preemption() {
        // given
        addWorkers(4, 16_000, 0);
        for (int i = 0; i < 20; i++) {
            pool.submit(SimJobs.job("batch" + i, 2, pool.nowMs, SimJobs.step(11, 3_300, 0, 20_000)));
        }
        pool.runUntil(2_500);

        // when
        long submittedMs = pool.nowMs;
        pool.submit(SimJobs.job("urgent", 0, pool.nowMs, SimJobs.step(6, 1_500, 0, 700)));
        pool.runUntil(5_000);

        // then
        assertThat(firstStart("urgent", 6) - submittedMs).isLessThan(1_000);
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void wide_gang_among_small_accelerator_tasks_should_start_without_waiting_for_all_of_them() {
        // given
        addWorkers(4, 64_000, 8);
        for (int i = 0; i < 20; i++) {
            pool.submit(SimJobs.job("small" + i, 2, pool.nowMs, SimJobs.step(8, 5_600, 1, 10_000)));
        }
        pool.runUntil(2_500);

        // when
        long submittedMs = pool.nowMs;
        pool.submit(SimJobs.job("gang", 1, pool.nowMs, SimJobs.gang(2, 31_000, 8, 3_000)));
        pool.runUntil(8_000);

        // then
        assertThat(firstStart("gang", 2) - submittedMs).isLessThan(1_500);
        assertThat(pool.phase("gang")).contains(JobPhase.COMPLETED);
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void filling_tasks_should_leave_a_worker_when_a_serving_task_joins_it() {
        // given
        addWorkers(2, 4_000, 0);
        pool.submit(SimJobs.job("fill", 2, pool.nowMs, SimJobs.filling(6, 2_000, 30_000)));
        pool.runUntil(2_500);

        // when
        pool.submit(SimJobs.job("serve", 1, pool.nowMs, SimJobs.serving(2, 4_000)));
        pool.runUntil(4_000);

        // then
        for (SimWorker worker : pool.workers.values()) {
            boolean serves = worker.running.keySet().stream()
                    .anyMatch(run -> run.task().jobId().equals("serve"));
            boolean fills = worker.running.keySet().stream()
                    .anyMatch(run -> run.task().jobId().equals("fill"));
            assertThat(serves && fills).as("worker " + worker.entry.id()).isFalse();
        }
        assertThat(firstStart("serve", 2)).isLessThan(Long.MAX_VALUE);
    }

    @Test
    void job_that_always_fails_should_end_after_its_attempts_and_leave_the_pool_to_others() {
        // given
        addWorkers(3, 8_000, 0);
        pool.failures = 1;
        pool.submit(SimJobs.job("hopeless", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 200)));
        pool.runUntil(20_000);

        // when
        pool.failures = 0;
        pool.submit(SimJobs.job("fine", 0, pool.nowMs, SimJobs.step(3, 1_000, 0, 200)));
        pool.runUntil(30_000);

        // then
        assertThat(pool.phase("hopeless")).contains(JobPhase.FAILED);
        assertThat(pool.phase("fine")).contains(JobPhase.COMPLETED);
        assertThat(pool.history.starts).isEqualTo(6);
    }

    @Test
    void lasting_tasks_should_be_started_again_after_their_worker_has_restarted() {
        // given
        addWorkers(3, 8_000, 0);
        pool.submit(SimJobs.job("watchers", 1, pool.nowMs, SimJobs.serving(6, 2_000)));
        pool.runUntil(3_000);
        SimWorker worker = pool.workers.get("w0");
        int before = worker.running.size();

        // when
        worker.restart(pool.nowMs);
        pool.runUntil(5_500);

        // then
        assertThat(before).isPositive();
        int running =
                pool.workers.values().stream().mapToInt(w -> w.running.size()).sum();
        assertThat(running).isEqualTo(6);
        assertThat(pool.history.violations).isEmpty();
    }

    /**
     * Guards against a backlog whose tickets expire again and again: its renewals took all calls for advice, so that
     * urgent work waited for its own.
     */
    @Test
    void backlog_of_advised_batch_should_leave_calls_for_advice_to_urgent_work() {
        // given
        addWorkers(4, 16_000, 0);
        pool.adviceChannels = 3;
        AdvicePolicy slow = new AdvicePolicy(150, 2, 2_000);
        for (int i = 0; i < 60; i++) {
            pool.submit(SimJobs.advised("batch" + i, 2, pool.nowMs, slow, SimJobs.step(11, 3_300, 0, 20_000)));
        }
        pool.runUntil(4_000);

        // when
        int busiest = 0;
        while (pool.nowMs < 8_000) {
            pool.runUntil(pool.nowMs + 50);
            busiest = Math.max(busiest, pool.adviceCalls);
        }

        // then
        assertThat(busiest).isLessThan(pool.adviceChannels);
        assertThat(pool.history.violations).isEmpty();
    }

    /** Guards against small jobs that are starved by wide urgent ones which have lost their value long ago. */
    @Test
    void backlog_of_worthless_urgent_gangs_should_not_keep_batch_from_its_objective() {
        // given
        addWorkers(1, 64_000, 8);
        for (int i = 0; i < 20; i++) {
            pool.submit(SimJobs.job("gang" + i, 1, pool.nowMs, SimJobs.gang(1, 31_000, 8, 3_000)));
        }
        pool.runUntil(18_000);

        // when
        long submittedMs = pool.nowMs;
        pool.submit(SimJobs.job("small", 2, pool.nowMs, SimJobs.step(8, 5_600, 1, 2_000)));
        pool.runUntil(30_000);

        // then
        assertThat(firstStart("small", 8) - submittedMs).isLessThan(4_500);
        pool.runUntil(80_000);
        for (int i = 0; i < 20; i++) {
            assertThat(pool.phase("gang" + i)).contains(JobPhase.COMPLETED);
        }
    }

    /** Guards against an overload in which every job is late because the one that is latest always goes first. */
    @Test
    void jobs_after_a_burst_should_meet_their_objective_before_those_that_can_not_any_more() {
        // given
        addWorkers(1, 4_000, 0);
        for (int i = 0; i < 10; i++) {
            pool.submit(SimJobs.job("burst" + i, 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 1_000)));
        }

        // when
        int inTime = 0;
        int submitted = 8;
        for (int i = 0; i < submitted; i++) {
            pool.runUntil(3_000 + i * 1_500L);
            pool.submit(SimJobs.job("later" + i, 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 1_000)));
        }
        pool.runUntil(30_000);

        // then
        for (int i = 0; i < submitted; i++) {
            if (firstStart("later" + i, 4) - (3_000 + i * 1_500L) < 1_400) {
                inTime++;
            }
        }
        assertThat(inTime).isGreaterThanOrEqualTo(submitted / 2);
        assertThat(pool.history.violations).isEmpty();
    }
}
