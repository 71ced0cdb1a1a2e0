package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second run of a task while its first run may still be active or after it has succeeded, and against
 * failures that are counted twice: after a takeover, a lost worker, an unavailable store or a start without an answer.
 */
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
    void should_not_run_a_succeeded_task_again_when_the_owner_changes_while_the_store_is_unavailable() {
        // given
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 500)));
        pool.runUntil(1_700);
        pool.storeUnavailable = true;
        pool.runUntil(2_600);
        int startsBefore = pool.history.starts;

        // when
        pool.changeOwner();
        pool.runUntil(4_000);
        pool.storeUnavailable = false;
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
        pool.storeUnavailable = true;

        // when
        pool.runUntil(4_000);

        // then
        assertThat(pool.phase("j")).contains(JobPhase.QUEUED);
        pool.storeUnavailable = false;
        pool.runUntil(4_200);
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_not_run_a_task_elsewhere_before_the_lease_of_an_unreachable_worker_has_expired() {
        // given
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(4, 1_000, 0, 3_000)));
        pool.runUntil(2_000);
        SimWorker busy = pool.workers.values().stream()
                .filter(worker -> !worker.running.isEmpty())
                .findFirst()
                .orElseThrow();

        // when
        busy.unreachable = true;
        pool.runUntil(15_000);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_prevent_a_late_start_before_it_starts_the_task_elsewhere() {
        // given
        pool.lateOrderProbability = 1;
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(3, 1_000, 0, 500)));
        pool.runUntil(1_600);

        // when
        pool.lateOrderProbability = 0;
        pool.runUntil(20_000);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }

    @Test
    void should_count_a_failed_run_once_when_its_end_is_reported_to_two_owners() {
        // given
        pool.failureProbability = 1;
        pool.submit(SimJobs.job("j", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 500)));
        pool.runUntil(2_600);
        int startsBefore = pool.history.starts;

        // when
        pool.changeOwner();
        pool.failureProbability = 0;
        pool.runUntil(9_000);

        // then
        assertThat(startsBefore).isEqualTo(2);
        assertThat(pool.phase("j")).contains(JobPhase.COMPLETED);
    }
}
