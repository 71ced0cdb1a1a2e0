package io.radishspindle.placement;

import static io.radishspindle.placement.Fixtures.cores;
import static io.radishspindle.placement.Fixtures.job;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.PlacementAction.CommandTask;
import io.radishspindle.placement.PlacementAction.RecordAttempt;
import io.radishspindle.placement.PlacementAction.StartTask;
import io.radishspindle.platform.WorkerClient;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Placement rules of each job class: preemption, spreading, gangs, backfilling and cancellation. */
class ClassPoliciesTest {
    private final GroupFake group = new GroupFake();

    /** Guards against urgent work that waits behind batch work on a full group. */
    @Test
    void should_preempt_batch_tasks_when_urgent_work_does_not_fit() {
        // given
        group.claimAll(2, 1, cores(4));
        group.accept(job("batch", JobClass.BATCH, 8, cores(1)));
        group.tick(0);
        // when
        group.accept(job("urgent", JobClass.URGENT, 1, cores(2)));
        group.run(200, 0);
        // then
        assertThat(group.live("urgent")).hasSize(1);
        assertThat(group.all(CommandTask.class)).hasSize(2);
        assertThat(group.status("batch").waiting()).isEqualTo(2);
    }

    /** Guards against an urgent task that waits for a checkpoint that never ends, and against further victims. */
    @Test
    void should_abandon_a_slow_checkpoint_for_urgent_work() {
        // given
        group.claimAll(1, 1, cores(4));
        group.accept(job("batch", JobClass.BATCH, 4, cores(1)));
        group.tick(0);
        // when
        group.accept(job("urgent", JobClass.URGENT, 1, cores(1)));
        group.run(700, 10_000);
        // then
        assertThat(group.all(CommandTask.class).stream()
                        .map(CommandTask::attempt)
                        .distinct())
                .hasSize(1);
        assertThat(group.all(CommandTask.class).stream().map(CommandTask::command))
                .containsExactly(WorkerClient.Command.CHECKPOINT_AND_STOP, WorkerClient.Command.STOP);
    }

    /** Guards against preemption that the operators have switched off. */
    @Test
    void should_preempt_nothing_for_urgent_work_when_the_policy_forbids_it() {
        // given
        GroupFake strict = new GroupFake(new PlacementPolicy(cores(100), Map.of(), 100, false));
        strict.claimAll(1, 1, cores(2));
        strict.accept(job("batch", JobClass.BATCH, 2, cores(1)));
        strict.tick(0);
        // when
        strict.accept(job("urgent", JobClass.URGENT, 1, cores(1)));
        strict.run(2_000, 0);
        // then
        assertThat(strict.all(CommandTask.class)).isEmpty();
    }

    /** Guards against replicas that share a rack, so that one rack failure stops them together. */
    @Test
    void should_spread_the_replicas_of_a_service_over_racks() {
        // given
        group.claimAll(6, 2, cores(8));
        // when
        group.accept(job("service", JobClass.SERVICE, 6, cores(1)));
        group.tick(0);
        // then
        Map<String, Long> perRack = group.all(StartTask.class).stream()
                .collect(Collectors.groupingBy(
                        s -> group.checker.workers.get(s.workerId()).rack(), Collectors.counting()));
        assertThat(perRack.values()).containsExactly(2L, 2L, 2L);
    }

    /** Guards against a crashing replica that is restarted without pause, and against one that stays down. */
    @Test
    void should_restart_a_failing_replica_with_growing_back_off() {
        // given
        group.claimAll(1, 1, cores(8));
        group.accept(job("service", JobClass.SERVICE, 1, cores(1)));
        group.tick(0);
        // when
        for (int i = 0; i < 3; i++) {
            group.end(group.live("service").get(0), TaskOutcome.FAILED);
            group.run(900, 0);
            assertThat(group.live("service")).isEmpty();
            group.run(8_000, 0);
        }
        // then
        assertThat(group.live("service")).hasSize(1);
    }

    /** Guards against a gang that runs in part. */
    @Test
    void should_start_a_gang_only_when_all_of_it_fits() {
        // given
        group.claimAll(2, 1, cores(4));
        group.accept(job("batch", JobClass.BATCH, 1, cores(4)));
        group.tick(0);
        group.accept(job("gang", JobClass.ALL_AT_ONCE, 4, cores(2)));
        group.run(1_000, 0);
        assertThat(group.live("gang")).isEmpty();
        // when
        group.end(group.live("batch").get(0), TaskOutcome.SUCCEEDED);
        group.tick(50);
        // then
        assertThat(group.live("gang")).hasSize(4);
    }

    /** Guards against a gang that small tasks starve, and against reserved capacity left idle needlessly. */
    @Test
    void should_backfill_only_tasks_that_end_before_the_reservation() {
        // given
        group.claimAll(1, 1, cores(4));
        group.accept(job("running", JobClass.BATCH, 1, cores(2)));
        group.tick(0);
        group.accept(job("gang", JobClass.ALL_AT_ONCE, 4, cores(1)));
        // when
        group.accept(withRunTime(job("long", JobClass.BATCH, 1, cores(1)), 600_000));
        group.accept(withRunTime(job("short", JobClass.BATCH, 1, cores(1)), 5_000));
        group.run(2_000, 0);
        // then
        assertThat(group.live("long")).isEmpty();
        assertThat(group.live("short")).hasSize(1);
    }

    private static JobSpec withRunTime(JobSpec job, long runMs) {
        return new JobSpec(
                job.id(), job.team(), job.family(), job.jobClass(), job.tasks(), job.perTask(), runMs, 3, Map.of());
    }

    /** Guards against a gang that continues after one of its tasks was lost. */
    @Test
    void should_stop_and_restart_the_whole_gang_when_a_member_is_lost() {
        // given
        group.claimAll(3, 1, cores(2));
        group.accept(job("gang", JobClass.ALL_AT_ONCE, 2, cores(2)));
        group.tick(0);
        String worker = group.all(StartTask.class).get(0).workerId();
        // when
        group.unreachable(worker);
        group.lost(worker);
        group.all(CommandTask.class).forEach(c -> group.end(c.attempt(), TaskOutcome.STOPPED));
        group.run(1_000, 0);
        // then
        assertThat(group.live("gang")).hasSize(2);
        assertThat(group.all(StartTask.class)).hasSize(4);
    }

    /** Guards against accelerators that are blocked by tasks that need none. */
    @Test
    void should_use_workers_with_accelerators_last() {
        // given
        group.claim(Fixtures.worker("gpu", "r1", new Resources(8_000, 8_192, 4)));
        group.claim(Fixtures.worker("plain", "r2", cores(16)));
        // when
        group.accept(job("batch", JobClass.BATCH, 17, cores(1)));
        group.tick(0);
        // then
        Map<String, Long> perWorker = group.all(StartTask.class).stream()
                .collect(Collectors.groupingBy(StartTask::workerId, Collectors.counting()));
        assertThat(perWorker).containsEntry("plain", 16L).containsEntry("gpu", 1L);
    }

    /** Guards against a cancelled job that keeps running or is reported as ended too early. */
    @Test
    void should_stop_a_cancelled_job_and_end_it_after_its_last_attempt() {
        // given
        group.claimAll(1, 1, cores(2));
        group.accept(job("batch", JobClass.BATCH, 5, cores(1)));
        group.tick(0);
        // when
        group.cancel("batch");
        List<TaskAttempt> live = group.live("batch");
        assertThat(group.status("batch").phase()).isEqualTo(JobStatus.Phase.RUNNING);
        live.forEach(a -> group.end(a, TaskOutcome.STOPPED));
        // then
        assertThat(group.status("batch").phase()).isEqualTo(JobStatus.Phase.CANCELLED);
        assertThat(group.core.totals().queuedTasks()).isZero();
        assertThat(group.all(RecordAttempt.class)).hasSize(2).allMatch(RecordAttempt::taskCompleted);
    }

    /** Guards against smaller tasks that starve an urgent task when nothing may be preempted. */
    @Test
    void should_earmark_capacity_for_urgent_work_when_nothing_may_be_preempted() {
        // given
        group.claimAll(1, 1, cores(2));
        group.accept(job("first", JobClass.ALL_AT_ONCE, 1, cores(1)));
        group.accept(job("second", JobClass.ALL_AT_ONCE, 1, cores(1)));
        group.tick(0);
        group.accept(job("urgent", JobClass.URGENT, 1, cores(2)));
        group.accept(job("later", JobClass.BATCH, 1, cores(1)));
        // when
        group.end(group.live("first").get(0), TaskOutcome.SUCCEEDED);
        group.run(1_000, 0);
        group.end(group.live("second").get(0), TaskOutcome.SUCCEEDED);
        group.run(1_000, 0);
        // then
        assertThat(group.live("urgent")).hasSize(1);
    }
}
