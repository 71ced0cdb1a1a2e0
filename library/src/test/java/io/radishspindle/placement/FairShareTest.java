package io.radishspindle.placement;

import static io.radishspindle.placement.Fixtures.cores;
import static io.radishspindle.placement.Fixtures.job;
import static io.radishspindle.placement.Fixtures.ofTeam;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.PlacementAction.CommandTask;
import io.radishspindle.placement.PlacementAction.StartTask;
import io.radishspindle.platform.WorkerClient;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Quotas, borrowing, admission, observed usage and overuse. */
class FairShareTest {
    private static final PlacementPolicy QUOTA_4 =
            new PlacementPolicy(cores(4), Map.of("team-0", Resources.NONE), 50, true);

    private final GroupFake group = new GroupFake(QUOTA_4);

    /** Guards against a team that takes the whole group because it submitted first. */
    @Test
    void should_share_free_capacity_between_teams() {
        // given
        group.claimAll(1, 1, cores(8));
        group.accept(ofTeam(job("first", JobClass.BATCH, 20, cores(1)), "team-a"));
        group.accept(ofTeam(job("second", JobClass.BATCH, 20, cores(1)), "team-b"));
        // when
        group.tick(0);
        // then
        assertThat(group.live("first")).hasSize(4);
        assertThat(group.live("second")).hasSize(4);
    }

    /** Guards against idle capacity that a quota keeps unused, and against borrowed capacity that is not reclaimed. */
    @Test
    void should_lend_idle_capacity_and_reclaim_it() {
        // given
        group.claimAll(2, 1, cores(4));
        group.accept(ofTeam(job("borrower", JobClass.BATCH, 20, cores(1)), "team-a"));
        group.tick(0);
        assertThat(group.live("borrower")).hasSize(8);
        // when
        group.accept(ofTeam(job("owner", JobClass.BATCH, 3, cores(1)), "team-b"));
        group.run(10_000, 0);
        // then
        assertThat(group.live("owner")).hasSize(3);
        assertThat(group.live("borrower")).hasSize(5);
    }

    /** Guards against a rejection with a wrong or empty reason. */
    @ParameterizedTest
    @CsvSource({
        "BATCH, 1, 9, team-a, NEVER_FITS, 9.0 cores",
        "ALL_AT_ONCE, 5, 4, team-a, NEVER_FITS, hold only 4",
        "BATCH, 51, 1, team-a, OVERLOADED, at most 50",
        "BATCH, 0, 1, team-a, INVALID_REQUEST, tasks is 0",
        "BATCH, 1, 0, team-a, INVALID_REQUEST, not all 0",
        "BATCH, 1, 1, team-0, QUOTA_EXCEEDED, quota 0"
    })
    void should_reject_a_job_with_the_applicable_reason(
            JobClass jobClass, int tasks, int cores, String team, ErrorCode code, String part) {
        // given
        group.claimAll(2, 1, cores(8));
        // when
        JobSpec job = ofTeam(job("j", jobClass, tasks, cores(cores)), team);
        Failure failure = group.core.check(job).getLeft();
        // then
        assertThat(failure.code()).isEqualTo(code);
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.message()).contains(part);
    }

    /** Guards against an explanation that names no numbers. */
    @Test
    void should_explain_why_a_task_waits() {
        // given
        group.claimAll(2, 1, cores(4));
        group.accept(job("big", JobClass.BATCH, 2, cores(3)));
        group.tick(0);
        // when
        group.accept(job("waiting", JobClass.BATCH, 1, cores(2)));
        group.tick(50);
        // then
        assertThat(group.status("waiting").explanation())
                .isEqualTo("1 of 1 tasks wait: each needs 2.0 cores, 2048 MiB and 0 accelerators, the closest of 2"
                        + " usable workers has 1.0 cores, 1024 MiB and 0 accelerators free; team team-a uses 1.5 times"
                        + " its quota, so others go first");
    }

    /** Guards against charging less than declared, and against repeated overuse by later jobs of a family. */
    @Test
    void should_charge_the_usage_observed_for_a_family() {
        // given
        group.claimAll(1, 1, cores(8));
        group.accept(Fixtures.ofFamily(job("one", JobClass.BATCH, 1, cores(1)), "family", 1));
        group.tick(0);
        group.send(new PlacementEvent.UsageReported(group.live("one").get(0), new Resources(3_000, 500, 0)));
        group.end(group.live("one").get(0), TaskOutcome.SUCCEEDED);
        // when
        group.accept(Fixtures.ofFamily(job("two", JobClass.BATCH, 3, cores(1)), "family", 1));
        group.tick(50);
        // then
        assertThat(group.live("two")).hasSize(2);
        assertThat(group.all(StartTask.class).get(1).reserved()).isEqualTo(new Resources(3_000, 1_024, 0));
    }

    /** Guards against a worker whose processors are overloaded, and against a throttle that is never lifted. */
    @Test
    void should_throttle_a_batch_task_only_while_its_worker_lacks_cores() {
        // given
        group.claimAll(1, 1, cores(2));
        group.accept(job("one", JobClass.BATCH, 1, cores(1)));
        group.accept(job("two", JobClass.BATCH, 1, cores(1)));
        group.tick(0);
        TaskAttempt greedy = group.live("one").get(0);
        // when
        group.send(new PlacementEvent.UsageReported(greedy, new Resources(2_000, 100, 0)));
        group.end(group.live("two").get(0), TaskOutcome.SUCCEEDED);
        group.send(new PlacementEvent.UsageReported(greedy, new Resources(1_000, 100, 0)));
        // then
        assertThat(group.all(CommandTask.class).stream().map(CommandTask::command))
                .containsExactly(WorkerClient.Command.THROTTLE, WorkerClient.Command.UNTHROTTLE);
        assertThat(group.core.totals().free().milliCores()).isZero();
    }

    /** Guards against memory overuse, which would get other tasks of the worker killed. */
    @Test
    void should_stop_a_batch_task_that_uses_more_memory_than_is_left() {
        // given
        group.claimAll(1, 1, cores(2));
        group.accept(job("one", JobClass.BATCH, 2, cores(1)));
        group.tick(0);
        // when
        group.send(new PlacementEvent.UsageReported(group.live("one").get(0), new Resources(100, 1_500, 0)));
        // then
        assertThat(group.all(CommandTask.class)).hasSize(1).allMatch(c -> c.reason()
                .contains("memory"));
    }
}
