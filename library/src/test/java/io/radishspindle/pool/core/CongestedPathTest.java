package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against workers that are given up, and tasks that run twice, while a congested link delays the calls to a
 * minority of the workers, and their answers, by seconds.
 */
class CongestedPathTest {
    private static final int WORKERS = 9;
    private static final int MAX_CONGESTED = 4;
    /** A call and its answer together take less than the rest of a lease after a retry. */
    private static final long BOUNDED_DELAY_MS = 2_000;
    /** Some answers arrive after the lease has expired. */
    private static final long EXCESSIVE_DELAY_MS = 6_000;

    private static final long TRAFFIC_END_MS = 30_000;
    private static final long END_MS = 60_000;

    /** Seeds of the test; {@code -Dpool.seeds=first-last} selects others. */
    static LongStream seeds() {
        String[] range = System.getProperty("pool.seeds", "1-20").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    private static PoolSimulation play(long seed, long maxDelayMs) {
        PoolSimulation pool = new PoolSimulation(seed);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker("w" + i, new Resources(16_000, 32_000, 8), "r" + i / 3);
        }
        List<String> jobs = new ArrayList<>();
        while (pool.nowMs < TRAFFIC_END_MS) {
            String id = "j" + jobs.size();
            long workMs = 300 + pool.random().nextLong(3_000);
            pool.submit(SimJobs.job(id, 0, pool.nowMs, SimJobs.step(5, 2_000, 0, workMs)));
            jobs.add(id);
            if (pool.random().nextInt(4) == 0) {
                pool.workers.values().forEach(worker -> worker.congestionMs = 0);
                pool.randomWorkers(1 + pool.random().nextInt(MAX_CONGESTED))
                        .forEach(worker ->
                                worker.congestionMs = 1 + pool.random().nextLong(maxDelayMs));
            }
            pool.runUntil(pool.nowMs + 250);
        }
        pool.workers.values().forEach(worker -> worker.congestionMs = 0);
        pool.runUntil(END_MS);
        assertThat(jobs).allSatisfy(id -> assertThat(pool.phase(id)).contains(JobPhase.COMPLETED));
        assertThat(pool.lateAnswers).isGreaterThan(20);
        return pool;
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_give_up_no_worker_and_run_no_task_twice_while_answers_arrive_within_the_lease(long seed) {
        // when
        PoolSimulation pool = play(seed, BOUNDED_DELAY_MS);

        // then
        assertThat(pool.losses).isEmpty();
        assertThat(pool.history.startsAfterListedSuccess).isEmpty();
        assertThat(pool.history.violations).isEmpty();
    }

    /** A task may run again after an end of which no answer has arrived, but never while an earlier run is at work. */
    @ParameterizedTest
    @MethodSource("seeds")
    void should_run_no_task_on_two_workers_at_once_while_answers_arrive_after_the_lease(long seed) {
        assertThat(play(seed, EXCESSIVE_DELAY_MS).history.violations).isEmpty();
    }
}
