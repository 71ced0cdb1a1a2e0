package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against holds for gangs that close workers to lasting tasks: a task that never ends outlasts every wait of a
 * gang, so that it waited beside free cores for as long as the gang did.
 */
class LastingTaskBesideGangTest {
    private static final AdvicePolicy ADVICE = new AdvicePolicy(560, 8, 1_500);
    private static final int WORKERS = 8;
    private static final long WORKER_CORES = 16_000;
    private static final long LIMIT_MS = 3_000;
    private static final TaskName LASTING = new TaskName("lasts", 0, 0, 0);

    private final PoolSimulation pool = poolOf(WORKERS);

    private static PoolSimulation poolOf(int workers) {
        PoolSimulation pool = new PoolSimulation(1);
        pool.advice.validityMs = ADVICE.validMs();
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, new Resources(WORKER_CORES, 64_000, 0), "rack");
        }
        pool.runUntil(1_500);
        return pool;
    }

    private void submitBusy(int tasks, long milliCores, long durationMs) {
        Resources task = new Resources(milliCores, 100, 0);
        StepSpec sized = SimJobs.sized(tasks, task, false, durationMs);
        pool.submit(SimJobs.job("busy", 0, pool.nowMs, withOnePerWorker(sized)));
        pool.runUntil(pool.nowMs + 200);
    }

    private static StepSpec withOnePerWorker(StepSpec step) {
        return new StepSpec(
                step.count(),
                step.perTask(),
                step.estimateMs(),
                List.of(),
                false,
                false,
                false,
                "",
                "",
                1,
                false,
                false,
                "",
                0,
                false,
                0);
    }

    private void submitGang(int members) {
        pool.submit(SimJobs.job("gang", 0, pool.nowMs, SimJobs.gang(members, WORKER_CORES, 0, 5_000)));
        pool.runUntil(pool.nowMs + 300);
    }

    private void submitLasting(boolean advised) {
        StepSpec step = SimJobs.lasting(1, new Resources(1_000, 100, 0), 0);
        pool.submit(
                advised
                        ? SimJobs.advised("lasts", 1, pool.nowMs, ADVICE, step)
                        : SimJobs.job("lasts", 1, pool.nowMs, step));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_start_a_lasting_task_beside_a_gang_that_waits_for_longer(boolean advised) {
        // given half of each worker in use for longer than the limit, and a gang that waits for all of them
        submitBusy(WORKERS, WORKER_CORES / 2, 14_000);
        submitGang(WORKERS);

        // when
        submitLasting(advised);
        pool.runUntil(pool.nowMs + LIMIT_MS);

        // then
        assertThat(pool.history.isRunning(LASTING)).isTrue();
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void should_restart_a_lasting_task_of_a_lost_worker_beside_a_waiting_gang() {
        // given
        submitLasting(false);
        pool.runUntil(pool.nowMs + 500);
        submitBusy(WORKERS, WORKER_CORES / 2, 30_000);
        submitGang(WORKERS - 1);

        // when
        pool.workers.values().stream()
                .filter(worker -> worker.running.keySet().stream()
                        .anyMatch(run -> run.task().equals(LASTING)))
                .findFirst()
                .orElseThrow()
                .unreachable = true;
        pool.runUntil(pool.nowMs + 9_000);

        // then
        assertThat(pool.workers.values().stream()
                        .filter(worker -> !worker.unreachable)
                        .flatMap(worker -> worker.running.keySet().stream())
                        .map(run -> run.task()))
                .contains(LASTING);
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void should_leave_the_workers_of_a_gang_to_it_if_a_lasting_task_has_room_elsewhere() {
        // given workers of which the gang needs all but one
        submitBusy(WORKERS - 1, WORKER_CORES / 2, 6_000);
        submitGang(WORKERS - 1);

        // when
        submitLasting(false);
        pool.runUntil(pool.nowMs + 7_000);

        // then
        assertThat(pool.history.isRunning(LASTING)).isTrue();
        assertThat(pool.history.firstStartMs).containsKey(new TaskName("gang", 0, 0, 0));
        assertThat(pool.history.violations).isEmpty();
    }

    @Test
    void should_start_a_gang_that_is_due_sooner_than_a_lasting_task_has_to() {
        // given
        submitBusy(WORKERS, WORKER_CORES / 2, 1_000);
        submitGang(WORKERS);

        // when
        submitLasting(false);
        pool.runUntil(pool.nowMs + 1_500);

        // then
        assertThat(pool.history.firstStartMs).containsKey(new TaskName("gang", 0, 0, 0));
        assertThat(pool.history.isRunning(LASTING)).isFalse();
        pool.runUntil(pool.nowMs + 6_000);
        assertThat(pool.history.isRunning(LASTING)).isTrue();
        assertThat(pool.history.violations).isEmpty();
    }

    /** Tasks that each take a part of another worker would keep the gang from more workers than they need. */
    @Test
    void should_start_several_lasting_tasks_on_few_of_the_workers_that_a_gang_waits_for() {
        // given
        submitBusy(WORKERS, WORKER_CORES / 2, 14_000);
        submitGang(WORKERS);

        // when
        StepSpec step = SimJobs.lasting(4, new Resources(1_000, 100, 0), 0);
        pool.submit(SimJobs.job("lasts", 1, pool.nowMs, step));
        pool.runUntil(pool.nowMs + LIMIT_MS);

        // then
        assertThat(pool.workers.values().stream()
                        .filter(worker -> worker.running.keySet().stream()
                                .anyMatch(run -> run.task().jobId().equals("lasts")))
                        .count())
                .isEqualTo(1);
    }
}
