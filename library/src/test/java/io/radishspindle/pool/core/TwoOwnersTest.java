package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.core.TwoOwnersSimulation.Owner;
import io.radishspindle.pool.model.PoolJob;
import java.util.List;
import java.util.stream.LongStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a second run of a task while two owners act: the older one has not learned of the newer claim yet, and
 * reaches a worker that the newer one doesn't.
 */
class TwoOwnersTest {
    /** Longer than all leases that the older owner may have granted. */
    private static final long AFTER_RECOVERY_MS = 12_000;

    private static final long FOR_GOOD_MS = Long.MAX_VALUE / 2;

    private static final long WHOLE_WORKER = 16_000;

    private TwoOwnersSimulation sim = new TwoOwnersSimulation(3, () -> 1);
    private Owner older;
    private boolean endsAreKnown;

    /** The older owner has waiting holds at all workers, which answer within the next 50 ms. */
    @BeforeEach
    void start() {
        older = sim.claim();
        sim.load(older);
        sim.runUntil(2_190);
    }

    private void run(long ms) {
        sim.runUntil(sim.nowMs + ms);
    }

    /** Stores a job with a task for each worker. */
    private PoolJob job(long milliCores, long estimateMs) {
        PoolJob job = SimJobs.job("a", 0, sim.nowMs, SimJobs.step(3, milliCores, 0, estimateMs));
        sim.store(job);
        return job;
    }

    private void tellBoth(Owner newer) {
        PoolJob job = job(WHOLE_WORKER, 500);
        older.tell(job);
        newer.tell(job);
    }

    /** Pauses the older owner while the answers to its holds arrive, and cuts it from the store and some workers. */
    private void pauseAndCut(long pauseMs, String... workers) {
        older.pauseUntil(sim.nowMs + pauseMs);
        run(50);
        older.cut(FOR_GOOD_MS, workers);
        older.seesStore = false;
    }

    @Test
    void should_not_start_a_new_job_before_a_distant_worker_has_reported() {
        // given
        Owner newer = sim.claim();
        newer.latencyMs.put("w0", 30L);
        sim.load(newer);

        // when
        run(5);
        tellBoth(newer);
        run(AFTER_RECOVERY_MS);

        // then
        assertThat(sim.history.violations).isEmpty();
        assertThat(sim.history.succeeded).hasSize(3);
    }

    /** Each owner reaches workers that the other one doesn't; a paused one takes earlier answers for new ones. */
    @ParameterizedTest
    @CsvSource({"0, 100", "0, 2_500", "0, 2_700", "1_400, 2_700", "1_400, 3_900", "1_400, 4_100"})
    void should_not_start_a_new_job_while_the_older_owner_may_have_a_majority(long pauseMs, long afterMs) {
        // given
        pauseAndCut(pauseMs, "w1", "w2");
        Owner newer = sim.claim();
        newer.cut(sim.nowMs + 6_000, "w0");
        sim.load(newer);

        // when
        run(afterMs);
        tellBoth(newer);
        run(AFTER_RECOVERY_MS);

        // then
        assertThat(sim.history.violations).isEmpty();
        assertThat(sim.history.succeeded).hasSize(3);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 100, 700, 1_400})
    void should_not_start_a_loaded_job_while_leases_of_a_paused_older_owner_last(long pauseMs) {
        // given
        older.tell(job(WHOLE_WORKER / 3, 30_000));
        pauseAndCut(pauseMs, "w1", "w2");
        Owner newer = sim.claim();
        newer.cut(FOR_GOOD_MS, "w0");
        sim.load(newer);

        // when
        run(AFTER_RECOVERY_MS);

        // then
        assertThat(newer.started).isNotEmpty();
        assertThat(sim.history.violations).isEmpty();
    }

    /** A worker that has reported to the newer owner restarts, so that it has seen no fencing token. */
    @Test
    void should_not_count_a_restarted_worker_for_the_older_owner() {
        // given
        PoolJob loaded = job(WHOLE_WORKER / 3, 5_000);
        pauseAndCut(0, "w0", "w1", "w2");
        Owner newer = sim.claim();
        sim.load(newer, "w0");
        run(300);

        // when
        sim.workers.get("w0").restart(sim.nowMs);
        newer.cut(sim.nowMs + 2_000, "w0");
        older.cut(0, "w0");
        run(200);
        older.tell(loaded);
        run(AFTER_RECOVERY_MS);

        // then
        assertThat(sim.history.violations).isEmpty();
    }

    /** A majority of the workers reaches the older owner only, and their registrations have expired. */
    @Tag("known-red")
    @Test
    void should_not_start_a_loaded_job_while_the_older_owner_has_a_majority() {
        // given
        older.tell(job(WHOLE_WORKER / 3, 30_000));
        pauseAndCut(0, "w2");
        Owner newer = sim.claim();
        newer.cut(FOR_GOOD_MS, "w0", "w1");
        sim.load(newer, "w0", "w1");

        // when
        run(AFTER_RECOVERY_MS);

        // then
        assertThat(newer.started).isNotEmpty();
        assertThat(sim.history.violations).isEmpty();
    }

    /** {@code -Dpool.seeds=first-last} selects other seeds. */
    private static LongStream seeds() {
        String[] range = System.getProperty("pool.seeds", "101-120").split("-");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[1]));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_not_start_new_jobs_twice_under_random_faults(long seed) {
        assertThat(play(seed, 4_000, 0)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_not_start_loaded_jobs_twice_under_random_faults(long seed) {
        assertThat(play(seed, 0, 0)).isEmpty();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void should_not_start_loaded_jobs_twice_while_workers_restart(long seed) {
        assertThat(play(seed, 0, 2)).isEmpty();
    }

    /** Guards against a wait for the leases of the older owner, whose end is known, which is too short. */
    @ParameterizedTest
    @MethodSource("seeds")
    void should_not_start_loaded_jobs_twice_if_the_end_of_the_older_owner_is_known(long seed) {
        endsAreKnown = true;

        assertThat(play(seed, 0, 0)).isEmpty();
    }

    /** The end of an owner that is paused shows only once it runs again, so that its leases may have been renewed. */
    @ParameterizedTest
    @ValueSource(longs = {0, 700, 1_400, 3_000})
    void should_wait_for_the_leases_of_an_older_owner_that_has_ended(long closesAfterMs) {
        // given
        older.tell(job(WHOLE_WORKER / 3, 30_000));
        run(2_000);
        older.cut(FOR_GOOD_MS, "w1", "w2");
        sim.endsAreKnown = true;
        Owner newer = sim.claim();
        newer.cut(FOR_GOOD_MS, "w0");
        sim.load(newer);

        // when
        sim.after(closesAfterMs, () -> older.closed = true);
        long claimedMs = sim.nowMs;
        run(closesAfterMs + 5_800);

        // then
        assertThat(newer.started).isNotEmpty();
        assertThat(newer.lastStartMs).isLessThan(claimedMs + closesAfterMs + 5_800);
        assertThat(sim.history.violations).isEmpty();
    }

    /** Plays a takeover with cuts and a pause; jobs are stored until {@code lastJobMs} after the claim. */
    private List<String> play(long seed, long lastJobMs, int restarts) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        sim = new TwoOwnersSimulation(5, () -> random.nextLong(6));
        sim.endsAreKnown = endsAreKnown;
        older = sim.claim();
        sim.load(older);
        run(500);
        long claimMs = 2_500;
        Owner[] newer = {null};
        sim.after(claimMs, () -> {
            newer[0] = sim.claim();
            sim.workers.keySet().stream()
                    .filter(id -> random.nextDouble() < 0.3)
                    .forEach(id -> newer[0].cut(sim.nowMs + random.nextLong(10_000), id));
            sim.load(newer[0]);
        });
        boolean seesClaim = random.nextBoolean();
        sim.after(claimMs - random.nextLong(1_000), () -> older.seesStore = seesClaim);
        sim.after(claimMs + random.nextLong(1_500), () -> older.closed |= seesClaim);
        for (String id : sim.workers.keySet()) {
            if (random.nextDouble() < 0.4) {
                sim.after(random.nextLong(claimMs + 500), () -> older.cut(sim.nowMs + random.nextLong(10_000), id));
            }
        }
        if (random.nextDouble() < 0.3) {
            sim.after(random.nextLong(claimMs), () -> older.pauseUntil(sim.nowMs + random.nextLong(3_000)));
        }
        for (int i = 0; i < restarts; i++) {
            SimWorker worker = sim.workers.get("w" + random.nextInt(5));
            sim.after(claimMs + random.nextLong(3_000), () -> worker.restart(sim.nowMs));
        }
        for (int i = 0; i < 8; i++) {
            PoolJob job = SimJobs.job("j" + i, 0, 0, SimJobs.step(3, 5_000, 0, 300 + random.nextLong(8_000)));
            sim.after(random.nextLong(claimMs + lastJobMs), () -> {
                sim.store(job);
                sim.after(random.nextLong(300), () -> older.tell(job));
                if (newer[0] != null) {
                    sim.after(random.nextLong(300), () -> newer[0].tell(job));
                }
            });
        }
        run(20_000);
        return sim.history.violations;
    }
}
