package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.JobProgress.StepProgress;
import io.radishspindle.pool.model.TaskCrashes;
import io.radishspindle.pool.model.TaskCrashes.Crash;
import io.radishspindle.pool.model.TaskCrashes.Exposure;
import io.radishspindle.pool.model.TaskCrashes.Place;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What a new owner makes of a suspect that it loads. */
class TrialOfEarlierOwnerTest {
    private static final Set<String> NONE_IN_FLIGHT = Set.of();
    /** A trial that can't be stored starts within a second. */
    private static final long LONGEST_WAIT_MS = 5_000;

    /**
     * Guards against a task that is started once more than its crashes allow: two owners gave the same number to
     * different trials, so that only one of the crashes was counted.
     */
    @Test
    void should_give_another_number_to_a_trial_than_an_earlier_owner_that_could_not_store_its_own() {
        // given an owner that loads a suspect, and loses the store before it tries it
        ScriptedPool first = ownerOf(progressOfSuspect());
        Map<String, JobProgress> stored = unwritten(first);
        int unstored = attemptOfTrial(first);

        // when
        ScriptedPool second = ownerOf(stored.getOrDefault("a", progressOfSuspect()));

        // then
        assertThat(attemptOfTrial(second)).isGreaterThan(unstored);
    }

    /** Guards against a sound job that is given up: its second crash was that of a worker lost with the owner. */
    @Test
    void should_not_give_up_a_job_for_a_worker_that_was_lost_under_an_earlier_owner() {
        // given a task that alone can be to blame for a crash, and on trial on a worker that restarts
        Crash crash = new Crash(1, "lost", "lost:80", true, false);
        Exposure trial = new Exposure(2, List.of(new Place("w0", "w0", 80, ScriptedPool.BOOT_MS - 100)), true);
        ScriptedPool pool = ownerOf(progress(new TaskCrashes(0, List.of(crash), trial)));

        // when
        startsWithin(pool, LONGEST_WAIT_MS);

        // then
        assertThat(unwritten(pool).get("a").phase()).isEqualTo(JobPhase.RUNNING);
    }

    private static JobProgress progressOfSuspect() {
        Crash crash = new Crash(1, "lost", "lost:80", false, false);
        return progress(new TaskCrashes(0, List.of(crash), null));
    }

    private static JobProgress progress(TaskCrashes crashes) {
        return new JobProgress(
                JobPhase.RUNNING, 0, List.of(new StepProgress(0, 0, new long[0], 1, new int[0], List.of(crashes))));
    }

    private static ScriptedPool ownerOf(JobProgress progress) {
        ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");
        pool.scheduler.load(SimJobs.job("a", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 100)), progress, false, 0);
        pool.scheduler.beginRecovery(pool.nowMs);
        pool.reportIdle("w0", "w1", "w2");
        return pool;
    }

    private static Map<String, JobProgress> unwritten(ScriptedPool pool) {
        return pool.scheduler.progress().take(10, NONE_IN_FLIGHT).progress();
    }

    private static int attemptOfTrial(ScriptedPool pool) {
        List<PoolAction.Start> starts = startsWithin(pool, LONGEST_WAIT_MS);
        assertThat(starts).hasSize(1);
        return starts.get(0).order().run().attempt();
    }

    private static List<PoolAction.Start> startsWithin(ScriptedPool pool, long durationMs) {
        long endMs = pool.nowMs + durationMs;
        List<PoolAction.Start> starts = pool.starts();
        while (starts.isEmpty() && pool.nowMs < endMs) {
            pool.nowMs += 100;
            pool.reportIdle("w0", "w1", "w2");
            starts = pool.starts();
        }
        return starts;
    }
}
