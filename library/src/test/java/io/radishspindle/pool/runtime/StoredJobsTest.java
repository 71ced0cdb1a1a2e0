package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.port.SharedStore.Item;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a job that is lost, restarted or given another final phase when its pool gets a new owner. */
class StoredJobsTest {
    private static final String POOL = "desk";

    private final PoolScheduler scheduler = new PoolScheduler();
    private final List<Item> intake = new ArrayList<>();
    private final List<Item> progress = new ArrayList<>();

    private static PoolJob job() {
        return job(null);
    }

    private static PoolJob job(@Nullable String tenant) {
        StepSpec step = new StepSpec(
                1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new PoolJob("j", "q", POOL, "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, tenant, "h/q/");
    }

    private void storeJob(Object value) {
        intake.add(new Item(StoreKeys.job(POOL, "j"), Records.encode(value), 1));
    }

    private void storeProgress(JobPhase phase) {
        progress.add(new Item(StoreKeys.progress(POOL, "j"), Records.encode(new JobProgress(phase, 7, List.of())), 2));
    }

    private void load() {
        StoredJobs stored = new StoredJobs(POOL, intake, progress);
        assertThat(stored.count()).isEqualTo(1);
        stored.loadNext(scheduler, 9);
    }

    @Test
    void should_resume_an_unfinished_job() {
        // given
        storeJob(job());

        // when
        load();

        // then
        assertThat(scheduler.phase("j")).contains(JobPhase.QUEUED);
        assertThat(scheduler.unfinishedJobs()).isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(names = {"COMPLETED", "FAILED"})
    void should_keep_the_final_phase_of_a_job_that_was_cancelled_too_late(JobPhase phase) {
        // given
        storeJob(new Records.EndedJob(JobPhase.CANCELLED, null, 0));
        storeProgress(phase);
        intake.add(new Item(StoreKeys.cancellation(POOL, "j"), new byte[] {1}, 3));

        // when
        load();

        // then
        assertThat(scheduler.phase("j")).contains(phase);
    }

    /** The listing may contain the ended item of a cancellation without the cancellation itself. */
    @Test
    void should_treat_an_ended_item_without_final_progress_as_cancelled() {
        // given
        storeJob(new Records.EndedJob(JobPhase.CANCELLED, null, 0));
        storeProgress(JobPhase.RUNNING);

        // when
        load();

        // then
        assertThat(scheduler.phase("j")).contains(JobPhase.CANCELLED);
        assertThat(scheduler.unfinishedJobs()).isZero();
    }

    /** The previous release keeps the whole job in its item after the end of the job. */
    @Test
    void should_read_an_ended_job_that_was_stored_by_an_older_release() {
        // given
        storeJob(job());
        storeProgress(JobPhase.COMPLETED);

        // when
        load();

        // then
        assertThat(scheduler.phase("j")).contains(JobPhase.COMPLETED);
    }

    /** Guards against quotas and access rules that lose the tenant of a job with its end. */
    @Test
    void should_keep_the_tenant_of_ended_jobs() {
        // given
        storeJob(new Records.EndedJob(JobPhase.CANCELLED, "studio", 0));

        // when
        load();

        // then
        assertThat(scheduler.tenantOf("j")).contains("studio");
    }

    /** Guards against a retention that restarts, and runs that are assumed anew, at each takeover. */
    @ParameterizedTest
    @CsvSource({"5, 5", "0, 9", "12, 9"})
    void should_load_the_time_of_a_cancellation(long storedWallMs, long loadedWallMs) {
        // given: loaded at 9
        storeJob(new Records.EndedJob(JobPhase.CANCELLED, "studio", storedWallMs));

        // when
        load();

        // then
        assertThat(scheduler.removeEnded(loadedWallMs - 1, 1)).isEmpty();
        assertThat(scheduler.removeEnded(loadedWallMs + 1, 1)).containsExactly("j");
    }

    @Test
    void should_keep_the_tenant_of_an_unfinished_job() {
        // given
        storeJob(job("studio"));

        // when
        load();

        // then
        assertThat(scheduler.tenantOf("j")).contains("studio");
        assertThat(scheduler.tenantOf("unknown")).isEmpty();
    }

    @Test
    void should_find_no_unfinished_job_in_the_item_of_an_ended_one() {
        storeJob(new Records.EndedJob(JobPhase.COMPLETED, null, 0));

        assertThat(StoredJobs.unfinishedJob(intake.get(0))).isEmpty();
    }
}
