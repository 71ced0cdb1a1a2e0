package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.WorkerEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an owner that takes over while entries of workers are missing from the store, as they are for up to 2
 * s after an outage, and starts the tasks again that run on the missing workers.
 */
class LapsedRegistrationsTest {
    private static final int WORKERS = 6;
    private static final long TOKEN = 2;
    private static final long LATER_TOKEN = 50;

    private final PoolOwnerFixture pool = new PoolOwnerFixture();

    @AfterEach
    void closePool() {
        pool.close();
    }

    private void startJobsUnderFirstOwner(List<WorkerEntry> entries) throws Exception {
        pool.onLoop(() -> {
            pool.createOwner(TOKEN);
            pool.owner.start(entries);
            return true;
        });
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());
        pool.onLoop(() -> {
            for (int i = 0; i < WORKERS; i++) {
                pool.submit("job" + i);
            }
            return true;
        });
        pool.awaitOnLoop(() -> pool.workers.all().size() == WORKERS);
    }

    private void takeOver(List<WorkerEntry> entries) throws Exception {
        pool.onLoop(() -> {
            pool.owner.close();
            pool.createOwner(LATER_TOKEN);
            pool.owner.start(entries);
            return true;
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 5})
    void should_not_start_again_what_runs_on_workers_without_an_entry(int returned) throws Exception {
        // given
        startJobsUnderFirstOwner(PoolOwnerFixture.entries("w", WORKERS, 1));

        // when
        takeOver(PoolOwnerFixture.entries("w", returned, WORKERS));
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());
        TimeUnit.MILLISECONDS.sleep(600);

        // then
        assertThat(pool.onLoop(pool.workers::all)).hasSize(WORKERS);
        assertThat(pool.onLoop(() -> pool.phase("job" + (WORKERS - 1)))).contains(JobPhase.RUNNING);
    }

    @Test
    void should_start_new_jobs_at_once_on_the_workers_that_have_an_entry() throws Exception {
        // given
        startJobsUnderFirstOwner(PoolOwnerFixture.entries("w", WORKERS, 1));
        takeOver(PoolOwnerFixture.entries("w", 2, WORKERS));
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());

        // when
        pool.onLoop(() -> {
            pool.submit("new");
            return true;
        });

        // then
        pool.awaitOnLoop(() -> pool.workers.all().size() == WORKERS + 1);
        assertThat(pool.onLoop(() -> pool.phase("new"))).contains(JobPhase.RUNNING);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 40, 1_000})
    void should_not_wait_for_entries_whose_workers_never_answer(int silent) throws Exception {
        // given entries that look valid, but have no worker
        List<WorkerEntry> entries = new ArrayList<>(PoolOwnerFixture.entries("w", WORKERS, 2));
        entries.addAll(PoolOwnerFixture.entries("x", silent, 2));

        // when the first owner, and then the next one, read them
        startJobsUnderFirstOwner(entries);
        takeOver(entries);
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());
        pool.onLoop(() -> {
            pool.submit("new");
            return true;
        });

        // then
        pool.awaitOnLoop(() -> pool.workers.all().size() == WORKERS + 1);
    }
}
