package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.StepSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against preemptions that throw work away without letting a task start earlier. */
class PreemptionTest {
    private static final AdvicePolicy SLOW_ADVICE = new AdvicePolicy(800, 8, 2_000);
    private static final Resources WORKER = new Resources(64_000, 256_000, 8);

    private final PoolSimulation pool = new PoolSimulation(5);

    private void addWorkers(int count) {
        for (int i = 0; i < count; i++) {
            pool.addWorker("w" + i, WORKER, "r" + i / 8);
        }
        pool.runUntil(1_500);
    }

    private void fillWithSmallTasks(int workers, long estimateMs) {
        StepSpec small = SimJobs.sized(8 * workers, new Resources(5_600, 29_000, 1), false, estimateMs);
        pool.submit(SimJobs.job("small", 2, pool.nowMs, small));
        pool.runUntil(2_500);
    }

    private static StepSpec gang(int members) {
        return SimJobs.sized(members, new Resources(31_000, 130_000, 4), true, 3_000);
    }

    private long preemptions() {
        return pool.stopReasons.stream()
                .filter(reason -> reason.startsWith("preempted"))
                .count();
    }

    /** Load: a pool full of small accelerator tasks. */
    @ParameterizedTest
    @CsvSource({"5, 20", "10, 40"})
    void should_stop_no_more_tasks_for_a_gang_than_its_members_need(int members, int needed) {
        // given
        addWorkers(10);
        fillWithSmallTasks(10, 20_000);

        // when
        pool.submit(SimJobs.advised("gang", 1, pool.nowMs, SLOW_ADVICE, gang(members)));
        pool.runUntil(8_500);

        // then
        assertThat(pool.phase("gang")).contains(JobPhase.COMPLETED);
        assertThat(preemptions()).isEqualTo(needed);
        assertThat(pool.stopReasons.get(0)).contains("preempted for gang", "lose", "core-s");
        assertThat(pool.history.violations).isEmpty();
    }

    /** Load: a pool full of small accelerator tasks with fewer workers than the gang has members. */
    @Test
    void should_stop_nothing_for_a_gang_that_can_not_start_as_a_whole() {
        // given
        addWorkers(4);
        fillWithSmallTasks(4, 8_000);

        // when
        pool.submit(SimJobs.job("gang", 1, pool.nowMs, gang(9)));
        pool.runUntil(9_000);

        // then
        assertThat(preemptions()).isZero();
    }

    /** Load: a third of the workers is full, and a third of all is approved for the gang. */
    @Test
    void should_stop_nothing_for_a_gang_while_untried_workers_have_room() {
        // given
        addWorkers(68);
        fillWithSmallTasks(24, 20_000);
        pool.advice.approval = 0.3;

        // when
        for (int i = 0; i < 3; i++) {
            pool.submit(SimJobs.advised("gang" + i, 1, pool.nowMs, SLOW_ADVICE, gang(5)));
        }
        pool.runUntil(12_000);

        // then
        assertThat(preemptions()).isZero();
        for (int i = 0; i < 3; i++) {
            assertThat(pool.phase("gang" + i)).contains(JobPhase.COMPLETED);
        }
    }

    /** Load: a pool full of tasks that end before a stop would have freed their resources. */
    @Test
    void should_wait_for_tasks_that_end_soon() {
        // given
        addWorkers(2);
        fillWithSmallTasks(2, 1_800);

        // when
        pool.submit(SimJobs.job("urgent", 0, pool.nowMs, SimJobs.step(8, 1_000, 1, 500)));
        pool.runUntil(5_000);

        // then
        assertThat(pool.phase("urgent")).contains(JobPhase.COMPLETED);
        assertThat(preemptions()).isZero();
    }

    /** Load: a pool at three fifths of its accelerators, where few gangs find no room after their calls for advice. */
    @Test
    void should_preempt_little_for_a_calm_mix_of_gangs_and_small_tasks() {
        // given
        PressureMix mix = new PressureMix(7, 0.6);

        // when
        mix.run(30_000, 15_000);

        // then
        assertThat(mix.preemptions()).isLessThanOrEqualTo(30);
        assertThat(mix.gangsCompleted).isEqualTo(mix.gangs);
        assertThat(mix.smallCompleted).isEqualTo(mix.smallJobs);
        assertThat(mix.pool.history.violations).isEmpty();
    }
}
