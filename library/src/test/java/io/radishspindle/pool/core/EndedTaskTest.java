package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a task that runs again after it has succeeded. */
class EndedTaskTest {
    private final PoolSimulation pool = new PoolSimulation(5);

    @BeforeEach
    void addWorkers() {
        for (int i = 0; i < 4; i++) {
            pool.addWorker("w" + i, new Resources(4_000, 8_000, 0), "r0");
        }
        pool.runUntil(1_500);
    }

    @Test
    void should_not_run_a_succeeded_task_again_when_the_owner_changes_while_the_store_is_away() {
        // given
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 500)));
        pool.runUntil(1_700);
        pool.storeDown = true;
        pool.runUntil(2_600);
        int startsBefore = pool.history.starts;

        // when
        pool.changeOwner();
        pool.runUntil(4_000);
        pool.storeDown = false;
        pool.runUntil(8_000);

        // then
        assertThat(pool.history.starts).isEqualTo(startsBefore);
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_report_completion_only_after_it_is_durable() {
        // given
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(2, 1_000, 0, 500)));
        pool.runUntil(1_700);
        pool.storeDown = true;

        // when
        pool.runUntil(4_000);

        // then
        assertThat(pool.phase("j")).contains(JobPhase.QUEUED);
        pool.storeDown = false;
        pool.runUntil(4_200);
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_not_run_a_task_elsewhere_before_the_lease_of_a_silent_worker_has_ended() {
        // given
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 3_000)));
        pool.runUntil(2_000);
        SimWorker busy = pool.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();

        // when
        busy.silent = true;
        pool.runUntil(15_000);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_bar_a_start_without_answer_before_it_starts_the_task_elsewhere() {
        // given
        pool.lateOrders = 1;
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(3, 1_000, 0, 500)));
        pool.runUntil(1_600);

        // when
        pool.lateOrders = 0;
        pool.runUntil(20_000);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_count_a_failed_run_once_when_its_end_is_listed_to_two_owners() {
        // given
        pool.failures = 1;
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 500)));
        pool.runUntil(2_600);
        int startsBefore = pool.history.starts;

        // when
        pool.changeOwner();
        pool.failures = 0;
        pool.runUntil(9_000);

        // then
        assertThat(startsBefore).isEqualTo(2);
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }
}
