package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.JobProgress.StepProgress;
import io.radishspindle.pool.model.TaskCrashes;
import io.radishspindle.pool.model.TaskCrashes.Crash;
import io.radishspindle.pool.model.TaskCrashes.Exposure;
import io.radishspindle.pool.model.TaskCrashes.Place;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

/** Guards against stored jobs that only one of two releases that run side by side can read. */
class RecordsTest {
    private static final String KEY = StoreKeys.job("desk", "j");

    /** An ended job as the release before tenants stores and reads it. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record EarlierEndedJob(JobPhase phase) {}

    /** An ended job as the release before times of ends stores and reads it. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    private record TenantEndedJob(JobPhase phase, @Nullable String tenant) {}

    @Test
    void should_read_an_ended_job_that_was_stored_without_the_time_of_its_end() {
        // given
        byte[] stored = Records.encode(new TenantEndedJob(JobPhase.CANCELLED, "studio"));

        // then
        assertThat(Records.isEndedJob(stored)).isTrue();
        assertThat(Records.decode(KEY, stored, Records.EndedJob.class).get())
                .isEqualTo(new Records.EndedJob(JobPhase.CANCELLED, "studio", 0));
        assertThat(Records.tenantOfJob(KEY, stored)).contains("studio");
    }

    @Test
    void should_store_ended_jobs_that_a_release_without_the_time_of_their_end_reads() {
        // given
        byte[] stored = Records.encode(new Records.EndedJob(JobPhase.CANCELLED, "studio", 1_700_000_000_000L));

        // then
        assertThat(Records.decode(KEY, stored, TenantEndedJob.class).get())
                .isEqualTo(new TenantEndedJob(JobPhase.CANCELLED, "studio"));
        assertThat(Records.decode(KEY, stored, Records.EndedJob.class).get().endedWallMs())
                .isEqualTo(1_700_000_000_000L);
    }

    @Test
    void should_read_an_ended_job_that_was_stored_without_a_tenant() {
        // given
        byte[] stored = Records.encode(new EarlierEndedJob(JobPhase.FAILED));

        // then
        assertThat(Records.isEndedJob(stored)).isTrue();
        assertThat(Records.decode(KEY, stored, Records.EndedJob.class).get())
                .isEqualTo(new Records.EndedJob(JobPhase.FAILED, null, 0));
        assertThat(Records.tenantOfJob(KEY, stored)).isEmpty();
    }

    @Test
    void should_store_ended_jobs_that_an_earlier_release_reads() {
        // given
        byte[] stored = Records.encode(new Records.EndedJob(JobPhase.COMPLETED, "studio", 0));

        // then
        assertThat(Records.isEndedJob(stored)).isTrue();
        assertThat(Records.decode(KEY, stored, EarlierEndedJob.class).get())
                .isEqualTo(new EarlierEndedJob(JobPhase.COMPLETED));
        assertThat(Records.tenantOfJob(KEY, stored)).contains("studio");
    }

    /** The progress of a job as the release before crash records stores and reads it. */
    private record EarlierProgress(JobPhase phase, long endedWallMs, List<EarlierStep> steps) {}

    private record EarlierStep(int occurrence, int step, long[] done, int highestAttempt, int[] failures) {}

    @Test
    void should_read_progress_that_was_stored_without_crash_records() {
        // given
        EarlierStep step = new EarlierStep(0, 1, new long[] {5}, 3, new int[] {1, 2});
        byte[] stored = Records.encode(new EarlierProgress(JobPhase.RUNNING, 0, List.of(step)));

        // when
        StepProgress read =
                Records.decode(KEY, stored, JobProgress.class).get().steps().get(0);

        // then
        assertThat(read.crashes()).isEmpty();
        assertThat(read.done()).containsExactly(5);
        assertThat(read.failures()).containsExactly(1, 2);
    }

    @Test
    void should_store_crash_records_that_an_earlier_release_skips() {
        // given
        Exposure exposure = new Exposure(4, List.of(new Place("w", "10.0.0.1", 80, 7)), true);
        TaskCrashes crashes = new TaskCrashes(1, List.of(new Crash(3, "v", "10.0.0.2:80", false, true)), exposure);
        StepProgress step = new StepProgress(0, 1, new long[] {5}, 4, new int[] {1, 2}, List.of(crashes));
        byte[] stored = Records.encode(new JobProgress(JobPhase.RUNNING, 0, List.of(step)));

        // then
        assertThat(Records.decode(KEY, stored, JobProgress.class)
                        .get()
                        .steps()
                        .get(0)
                        .crashes())
                .containsExactly(crashes);
        assertThat(Records.decode(KEY, stored, EarlierProgress.class)
                        .get()
                        .steps()
                        .get(0)
                        .highestAttempt())
                .isEqualTo(4);
    }

    /** An unreadable item must not keep its job from being cancelled. */
    @Test
    void should_find_no_tenant_in_an_unreadable_item() {
        assertThat(Records.tenantOfJob(KEY, new byte[] {(byte) 0x8e})).isEmpty();
    }
}
