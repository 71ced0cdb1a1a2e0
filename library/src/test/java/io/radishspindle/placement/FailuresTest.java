package io.radishspindle.placement;

import static io.radishspindle.placement.Fixtures.cores;
import static io.radishspindle.placement.Fixtures.job;
import static io.radishspindle.placement.Fixtures.ofFamily;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.placement.PlacementAction.StartTask;
import io.radishspindle.placement.PlacementAction.WorkerQuarantined;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Reactions to failing tasks, families and workers, to lost workers and to a change of owner. */
class FailuresTest {
    private final GroupFake group = new GroupFake();

    /** Guards against a failing task that is retried without limit. */
    @Test
    void should_fail_a_job_after_its_last_attempt() {
        // given
        group.claimAll(4, 1, cores(8));
        group.accept(job("bad", JobClass.BATCH, 1, cores(1)));
        // when
        failAll(60_000, Set.of("bad"));
        // then
        assertThat(group.all(StartTask.class)).hasSize(3);
        assertThat(group.status("bad").phase()).isEqualTo(JobStatus.Phase.FAILED);
        assertThat(group.status("bad").explanation()).contains("3 failed attempts", "exit 1");
    }

    private void failAll(long forMs, Set<String> jobs) {
        for (long end = group.nowMs + forMs; group.nowMs < end; ) {
            group.tick(100);
            jobs.forEach(id -> group.live(id).forEach(a -> group.end(a, TaskOutcome.FAILED)));
        }
    }

    /** Guards against a family whose failures use up the group, and against delays of other jobs because of it. */
    @Test
    void should_set_aside_a_family_that_fails_consistently() {
        // given
        group.claimAll(4, 1, cores(1));
        for (int i = 0; i < 4; i++) {
            group.accept(ofFamily(job("bad" + i, JobClass.BATCH, 3, cores(1)), "bad", 100));
        }
        group.accept(job("good", JobClass.BATCH, 1, cores(1)));
        // when
        failAll(60_000, Set.of("bad0", "bad1", "bad2", "bad3"));
        // then
        assertThat(group.status("bad0").phase()).isEqualTo(JobStatus.Phase.SET_ASIDE);
        assertThat(group.status("bad0").explanation()).contains("family bad");
        assertThat(group.live("good")).hasSize(1);
        assertThat(group.all(WorkerQuarantined.class)).isEmpty();
    }

    /** Guards against a faulty worker that is free again at once and so fails one job after another. */
    @Test
    void should_quarantine_a_worker_that_fails_everything() {
        // given
        group.claimAll(20, 4, cores(1));
        String bad = "w03";
        for (int i = 0; i < 40; i++) {
            group.accept(job("j" + i, JobClass.BATCH, 1, cores(1)));
        }
        // when
        for (int i = 0; i < 200; i++) {
            group.tick(100);
            List.copyOf(group.checker.attemptsOn(bad).keySet()).forEach(a -> group.end(a, TaskOutcome.FAILED));
            succeedOldest();
        }
        // then
        assertThat(group.all(WorkerQuarantined.class)).hasSize(1).allMatch(q -> q.workerId()
                .equals(bad));
        assertThat(group.core.statuses(group.nowMs)).allMatch(s -> s.phase() == JobStatus.Phase.SUCCEEDED);
    }

    private void succeedOldest() {
        for (String worker : group.checker.usable) {
            List<TaskAttempt> held =
                    List.copyOf(group.checker.attemptsOn(worker).keySet());
            if (!held.isEmpty() && !worker.equals("w03")) {
                group.end(held.get(0), TaskOutcome.SUCCEEDED);
                return;
            }
        }
    }

    /** Guards against a quarantine because of one faulty job. */
    @Test
    void should_not_quarantine_a_worker_for_one_faulty_job() {
        // given
        group.claimAll(1, 1, cores(8));
        group.accept(ofFamily(job("bad", JobClass.BATCH, 8, cores(1)), "bad", 10));
        // when
        failAll(300_000, Set.of("bad"));
        // then
        assertThat(group.all(WorkerQuarantined.class)).isEmpty();
    }

    /** Guards against a burst of starts after the loss of a worker. */
    @Test
    void should_place_the_tasks_of_a_lost_worker_again_at_a_limited_rate() {
        // given
        group.claimAll(2, 1, cores(200));
        group.accept(job("batch", JobClass.BATCH, 200, cores(1)));
        group.tick(0);
        String worker = group.all(StartTask.class).get(0).workerId();
        // when
        group.unreachable(worker);
        assertThat(group.status("batch").open()).isEqualTo(200);
        group.lost(worker);
        group.tick(500);
        // then
        assertThat(group.live("batch")).hasSizeBetween(45, 55);
        group.run(2_000, 0);
        assertThat(group.live("batch")).hasSize(200);
    }

    /** Guards against a second start of a task that may still run under the old owner. */
    @Test
    void should_not_start_recovered_tasks_before_they_are_known_not_to_run() {
        // given
        group.claimAll(1, 1, cores(8));
        TaskAttempt old = new TaskAttempt(new io.radishspindle.model.TaskId("job", 1), GroupFake.EPOCH - 1, 4);
        // when
        group.recover(job("job", JobClass.BATCH, 3, cores(1)), Set.of(0), group.nowMs + 13_000);
        group.checker.attemptsOn("w00").put(old, cores(1));
        group.claim(Fixtures.worker("w00", "rack0", cores(8)));
        group.run(12_900, 0);
        assertThat(group.all(StartTask.class)).isEmpty();
        group.run(200, 0);
        // then
        assertThat(group.all(StartTask.class))
                .hasSize(1)
                .allMatch(s -> s.attempt().task().index() == 2);
        assertThat(group.status("job").succeeded()).isEqualTo(1);
    }

    /** Guards against a second run of a task whose attempt under an earlier owner succeeded. */
    @Test
    void should_accept_a_late_success_of_an_attempt_of_an_earlier_owner() {
        // given
        group.claimAll(1, 1, cores(8));
        group.recover(job("job", JobClass.BATCH, 1, cores(1)), Set.of(), group.nowMs + 13_000);
        // when
        TaskAttempt old = new TaskAttempt(new io.radishspindle.model.TaskId("job", 0), GroupFake.EPOCH - 1, 1);
        group.send(new PlacementEvent.TaskEnded(old, "w00", TaskOutcome.SUCCEEDED, ""));
        group.run(14_000, 0);
        // then
        assertThat(group.status("job").phase()).isEqualTo(JobStatus.Phase.SUCCEEDED);
        assertThat(group.all(StartTask.class)).isEmpty();
    }
}
