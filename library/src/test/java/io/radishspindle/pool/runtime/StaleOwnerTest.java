package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.JobPhase;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an owner that answers from memory although it may have been replaced or may lack new jobs. */
class StaleOwnerTest {
    private final PoolOwnerFixture pool = new PoolOwnerFixture();

    @BeforeEach
    void startJob() throws Exception {
        pool.onLoop(() -> {
            pool.createOwner(2);
            pool.owner.start(PoolOwnerFixture.entries("w", 3, 1));
            return true;
        });
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());
        pool.onLoop(() -> {
            pool.submit("job");
            return true;
        });
        pool.awaitOnLoop(
                () -> pool.phase("job").filter(JobPhase.RUNNING::equals).isPresent());
    }

    @AfterEach
    void closePool() {
        pool.close();
    }

    @Test
    void should_give_no_number_of_pending_jobs_once_the_store_is_silent_for_2_s() throws Exception {
        // given that the watch of the jobs gets no answer in this test
        assertThat(pool.onLoop(() -> pool.owner.pending("q", "h/q/"))).isPresent();

        // then
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isEmpty());
        assertThat(pool.onLoop(() -> pool.phase("job"))).contains(JobPhase.RUNNING);
    }

    @Test
    void should_give_no_phase_of_a_job_once_no_majority_of_the_workers_answers() throws Exception {
        // given
        assertThat(pool.onLoop(() -> pool.owner.currentSummary("job"))).isPresent();

        // when
        pool.onLoop(() -> pool.workers.silent = true);

        // then
        pool.awaitOnLoop(() -> pool.owner.currentSummary("job").isEmpty());
    }
}
