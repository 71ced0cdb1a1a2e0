package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.prediction.LearnedRunTimes;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against concurrent runs of a task, runs after an acknowledged success, overcommitted workers and lost jobs
 * under random faults of workers, store, owner and network.
 */
class PoolInvariantsTest {
    private static final long END_MS = 90_000;
    /** Loaded tasks wait for the leases on silent workers after each change of owner, which leaves a longer backlog. */
    private static final long END_AFTER_LAPSES_MS = 120_000;

    /** A worker restarted while unreachable; the sequence number of an old end acknowledged an unreported new end. */
    private static final long RESTART_WHILE_UNREACHABLE_SEED = 153;

    private static final long MAX_CONGESTION_MS = 4_000;

    private static final Map<String, Resources> QUOTAS = Map.of(
            "cores", new Resources(30_000, 1_000_000, 1_000),
            "accelerators", new Resources(1_000_000, 1_000_000, 10));
    /** Every third job belongs to no tenant. */
    private static final List<String> TENANTS = List.of("cores", "accelerators", "");

    /** Seeds of the test, each with declared and with learned run times. */
    static Stream<Arguments> seedsAndRunTimes() {
        return seeds().boxed().flatMap(seed -> Stream.of(Arguments.of(seed, false), Arguments.of(seed, true)));
    }

    /** Seeds of the test; {@code -Dpool.seeds=first-last} selects another range. */
    private static LongStream seeds() {
        String[] range = System.getProperty("pool.seeds", "1-20").split("-");
        LongStream selected = LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
        return LongStream.concat(LongStream.of(RESTART_WHILE_UNREACHABLE_SEED), selected);
    }

    @ParameterizedTest
    @MethodSource("seedsAndRunTimes")
    void should_run_each_task_once_at_a_time_and_finish_every_job(long seed, boolean learned) {
        // given
        PoolSimulation pool = simulation(seed, learned);

        // then
        assertThat(run(pool, List.of(), PoolInvariantsTest::injectFault, END_MS))
                .isGreaterThan(500);
    }

    /** Guards against a wait for the leases of an owner that is known to have ended which is too short. */
    @ParameterizedTest
    @MethodSource("seedsAndRunTimes")
    void should_run_each_task_once_at_a_time_if_the_end_of_each_owner_is_known(long seed, boolean learned) {
        // given
        PoolSimulation pool = simulation(seed, learned);
        pool.ownerReturnsAfterMs = 0;

        // then
        assertThat(run(pool, List.of(), PoolInvariantsTest::injectFault, END_MS))
                .isGreaterThan(500);
    }

    /** Guards against an owner that counts only the workers that are registered when it takes over. */
    @ParameterizedTest
    @MethodSource("seedsAndRunTimes")
    void should_run_each_task_once_while_registrations_are_missing(long seed, boolean learned) {
        // given
        PoolSimulation pool = simulation(seed, learned);
        pool.limit(QUOTAS);

        // then
        assertThat(run(pool, TENANTS, PoolInvariantsTest::injectLapse, END_AFTER_LAPSES_MS))
                .isGreaterThan(300);
    }

    /** Guards against a tenant above its quota, counted on the workers at each start, and against a leaking ledger. */
    @ParameterizedTest
    @MethodSource("seedsAndRunTimes")
    void should_keep_every_tenant_within_its_quota(long seed, boolean learned) {
        // given: quotas that the load of each tenant exceeds most of the time
        PoolSimulation pool = simulation(seed, learned);
        pool.limit(QUOTAS);

        // then
        assertThat(run(pool, TENANTS, PoolInvariantsTest::injectFault, END_MS)).isGreaterThan(300);
    }

    /** Guards against reports that are applied in the wrong order, when holds overlap on congested links. */
    @ParameterizedTest
    @MethodSource("seedsAndRunTimes")
    void should_run_each_task_once_at_a_time_while_links_are_congested(long seed, boolean learned) {
        // given
        PoolSimulation pool = simulation(seed, learned);

        // then
        assertThat(run(pool, List.of(), PoolInvariantsTest::injectCongestion, END_AFTER_LAPSES_MS))
                .isGreaterThan(300);
        assertThat(pool.lateAnswers).isPositive();
    }

    private static PoolSimulation simulation(long seed, boolean learned) {
        return new PoolSimulation(seed, learned ? LearnedRunTimes::new : DeclaredRunTimes::new);
    }

    /** Returns the number of starts. */
    private static int run(PoolSimulation pool, List<String> tenants, Consumer<PoolSimulation> faults, long endMs) {
        // given
        for (int i = 0; i < 10; i++) {
            pool.addWorker("w" + i, new Resources(16_000, 32_000, 8), "r" + i / 3);
        }
        pool.lateOrderProbability = 0.02;
        pool.lostAnswerProbability = 0.02;
        pool.failureProbability = 0.02;

        // when
        List<String> jobs = new ArrayList<>();
        while (pool.nowMs < 40_000) {
            submitJobs(pool, jobs, tenants);
            faults.accept(pool);
            pool.runUntil(pool.nowMs + 250);
        }
        pool.workers.values().forEach(worker -> {
            worker.unreachable = false;
            worker.congestionMs = 0;
        });
        pool.storeUnavailable = false;
        pool.lateOrderProbability = 0;
        pool.lostAnswerProbability = 0;
        pool.failureProbability = 0;
        pool.runUntil(endMs);

        // then
        assertThat(pool.history.violations).isEmpty();
        assertThat(jobs).allSatisfy(id -> assertThat(pool.phase(id).map(JobPhase::isFinal))
                .as("final phase of " + id)
                .contains(true));
        return pool.history.starts;
    }

    private static void submitJobs(PoolSimulation pool, List<String> jobs, List<String> tenants) {
        for (int i = 0; i < 2; i++) {
            String id = "j" + jobs.size();
            String tenant = tenants.isEmpty() ? "" : tenants.get(jobs.size() % tenants.size());
            int kind = pool.random().nextInt(4);
            PoolJob job =
                    switch (kind) {
                        case 0 ->
                            SimJobs.job(
                                    id,
                                    0,
                                    pool.nowMs,
                                    SimJobs.step(4, 1_500, 0, 700),
                                    SimJobs.step(3, 1_500, 0, 500, 0));
                        case 1 -> SimJobs.job(id, 2, pool.nowMs, SimJobs.step(6, 3_000, 0, 1_500));
                        case 2 -> SimJobs.job(id, 1, pool.nowMs, SimJobs.gang(2, 4_000, 4, 1_200));
                        default -> SimJobs.job(id, 2, pool.nowMs, SimJobs.step(5, 1_000, 1, 900));
                    };
            pool.submit(SimJobs.ofTenant(tenant.isEmpty() ? null : tenant, job));
            jobs.add(id);
        }
        if (pool.random().nextInt(8) == 0) {
            pool.cancel(jobs.get(pool.random().nextInt(jobs.size())));
        }
    }

    private static void injectLapse(PoolSimulation pool) {
        int workers = pool.workers.size();
        switch (pool.random().nextInt(24)) {
            case 0 -> pool.changeOwnerAfterLapse(pool.random().nextInt(workers + 1));
            case 1 -> pool.randomWorkers(1).forEach(pool::crash);
            default -> injectFault(pool);
        }
    }

    private static void injectCongestion(PoolSimulation pool) {
        switch (pool.random().nextInt(12)) {
            case 0 ->
                pool.randomWorkers(pool.random().nextInt(5))
                        .forEach(worker ->
                                worker.congestionMs = 1 + pool.random().nextLong(MAX_CONGESTION_MS));
            case 1 -> pool.workers.values().forEach(worker -> worker.congestionMs = 0);
            case 2 -> pool.randomWorkers(1).forEach(pool::crash);
            default -> injectFault(pool);
        }
    }

    private static void injectFault(PoolSimulation pool) {
        List<SimWorker> workers = List.copyOf(pool.workers.values());
        SimWorker worker = workers.get(pool.random().nextInt(workers.size()));
        switch (pool.random().nextInt(24)) {
            case 0 -> worker.unreachable = true;
            case 1, 2 -> workers.forEach(other -> other.unreachable = false);
            case 3 -> pool.restart(worker);
            case 4 -> pool.changeOwner();
            case 5 -> pool.storeUnavailable = true;
            case 6, 7 -> pool.storeUnavailable = false;
            default -> {
                // no fault in most periods
            }
        }
    }
}
