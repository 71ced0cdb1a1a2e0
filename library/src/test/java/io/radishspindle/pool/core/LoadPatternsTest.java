package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.TaskName;
import org.junit.jupiter.api.Test;

/**
 * Guards against long waiting times of urgent jobs and gangs, starvation and interference, under the load patterns
 * that the test names state.
 */
class LoadPatternsTest {
    private final PoolSimulation pool = new PoolSimulation(11);

    private void addWorkers(int count, long milliCores, int accelerators) {
        for (int i = 0; i < count; i++) {
            pool.addWorker("w" + i, new Resources(milliCores, 64_000, accelerators), "r" + i / 3);
        }
        pool.runUntil(1_500);
    }

    private long lastFirstStartMs(String job, int tasks) {
        long last = 0;
        for (int i = 0; i < tasks; i++) {
            last = Math.max(last, pool.history.firstStartMs.getOrDefault(new TaskName(job, 0, 0, i), Long.MAX_VALUE));
        }
        return last;
    }

    @Test
    void should_delay_an_urgent_job_after_a_burst_of_batch_by_no_more_than_a_preemption() {
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
        assertThat(lastFirstStartMs("urgent", 6) - submittedMs).isLessThan(1_000);
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void should_start_a_large_gang_without_waiting_for_all_small_accelerator_tasks() {
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
        assertThat(lastFirstStartMs("gang", 2) - submittedMs).isLessThan(1_500);
        assertThat(pool.phase("gang")).contains(JobPhase.COMPLETED);
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void should_stop_filling_tasks_on_a_worker_that_starts_a_serving_task() {
        // given
        addWorkers(2, 4_000, 0);
        pool.submit(SimJobs.job("fill", 2, pool.nowMs, SimJobs.filling(6, 2_000, 30_000)));
        pool.runUntil(2_500);

        // when
        pool.submit(SimJobs.job("serve", 1, pool.nowMs, SimJobs.serving(2, 4_000)));
        pool.runUntil(4_000);

        // then
        for (SimWorker worker : pool.workers.values()) {
            boolean isServing = worker.running.keySet().stream()
                    .anyMatch(run -> run.task().jobId().equals("serve"));
            boolean fills = worker.running.keySet().stream()
                    .anyMatch(run -> run.task().jobId().equals("fill"));
            assertThat(isServing && fills).as("worker " + worker.entry.id()).isFalse();
        }
        assertThat(lastFirstStartMs("serve", 2)).isLessThan(Long.MAX_VALUE);
    }

    @Test
    void should_fail_a_job_after_its_maximum_attempts_and_run_other_jobs_then() {
        // given
        addWorkers(3, 8_000, 0);
        pool.failureProbability = 1;
        pool.submit(SimJobs.job("failing", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 200)));
        pool.runUntil(20_000);

        // when
        pool.failureProbability = 0;
        pool.submit(SimJobs.job("fine", 0, pool.nowMs, SimJobs.step(3, 1_000, 0, 200)));
        pool.runUntil(30_000);

        // then
        assertThat(pool.phase("failing")).contains(JobPhase.FAILED);
        assertThat(pool.phase("fine")).contains(JobPhase.COMPLETED);
        assertThat(pool.history.starts).isEqualTo(6);
    }

    @Test
    void should_start_lasting_tasks_again_after_their_worker_has_restarted() {
        // given
        addWorkers(3, 8_000, 0);
        pool.submit(SimJobs.job("watchers", 1, pool.nowMs, SimJobs.serving(6, 2_000)));
        pool.runUntil(3_000);
        SimWorker worker = pool.workers.get("w0");
        int runningBefore = worker.running.size();

        // when
        pool.restart(worker);
        pool.runUntil(5_500);

        // then
        assertThat(runningBefore).isPositive();
        int running =
                pool.workers.values().stream().mapToInt(w -> w.running.size()).sum();
        assertThat(running).isEqualTo(6);
        assertThat(pool.history.violations).isEmpty();
    }

    /**
     * Guards against a backlog whose tickets expire repeatedly: their renewals used all advice channels, so that
     * urgent jobs waited for their own advice.
     */
    @Test
    void should_leave_advice_channels_free_despite_a_backlog_of_batch_jobs_with_advice() {
        // given
        addWorkers(4, 16_000, 0);
        pool.adviceChannels = 3;
        AdvicePolicy slow = new AdvicePolicy(150, 2, 2_000);
        for (int i = 0; i < 60; i++) {
            pool.submit(SimJobs.advised("batch" + i, 2, pool.nowMs, slow, SimJobs.step(11, 3_300, 0, 20_000)));
        }
        pool.runUntil(4_000);

        // when
        int maxAdviceCalls = 0;
        while (pool.nowMs < 8_000) {
            pool.runUntil(pool.nowMs + 50);
            maxAdviceCalls = Math.max(maxAdviceCalls, pool.adviceCalls);
        }

        // then
        assertThat(maxAdviceCalls).isLessThan(pool.adviceChannels);
        assertThat(pool.history.violations).isEmpty();
    }

    /** Guards against starvation of small jobs by large urgent gangs that expired long ago. */
    @Test
    void should_start_batch_in_time_despite_a_backlog_of_expired_urgent_gangs() {
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
        assertThat(lastFirstStartMs("small", 8) - submittedMs).isLessThan(4_500);
        pool.runUntil(80_000);
        for (int i = 0; i < 20; i++) {
            assertThat(pool.phase("gang" + i)).contains(JobPhase.COMPLETED);
        }
    }

    /** Guards against an overload in which every job is late because the latest job is always scheduled first. */
    @Test
    void should_prefer_jobs_that_can_meet_their_objective_to_late_jobs_of_a_burst() {
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
            if (lastFirstStartMs("later" + i, 4) - (3_000 + i * 1_500L) < 1_400) {
                inTime++;
            }
        }
        assertThat(inTime).isGreaterThanOrEqualTo(submitted / 2);
        assertThat(pool.history.violations).isEmpty();
    }
}
