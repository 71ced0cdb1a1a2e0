package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.pool.runtime.Records.Registration;
import io.vertx.core.Vertx;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a second run of a job that a VM of an earlier release has stored in the pool of a moved queue. */
class JobRegistrarTest {
    private static final String SLICE = PoolOwnerFixture.POOL;
    private static final long TOKEN = 5;
    private static final String REGISTRATION = StoreKeys.registration("j");
    private static final String JOB_KEY = StoreKeys.job(SLICE, "j");

    private final Vertx vertx = Vertx.vertx();
    private final FakeSharedStore store = new FakeSharedStore();
    private final JobRegistrar registrar = new JobRegistrar(vertx, store, SLICE, TOKEN);
    private final AtomicInteger scheduled = new AtomicInteger();

    @BeforeEach
    void storeJob() {
        put(StoreKeys.owner(SLICE), new Records.Owner("a", "1"), TOKEN);
        put(JOB_KEY, job(), 6);
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private void put(String key, Object value, long revision) {
        store.items.put(key, new Item(key, Records.encode(value), revision));
    }

    private static PoolJob job() {
        return PoolOwnerFixture.job("j");
    }

    private void register() {
        registrar.register(job(), scheduled::incrementAndGet);
    }

    @ParameterizedTest
    @CsvSource({", 1, true", "desk, 1, true", "studio, 0, false"})
    void should_schedule_a_job_only_if_its_id_is_registered_for_this_slice(
            @Nullable String registeredIn, int starts, boolean kept) {
        // given
        if (registeredIn != null) {
            put(REGISTRATION, new Registration(registeredIn, "h/q/", null), 4);
        }

        // when
        register();

        // then
        assertThat(scheduled).hasValue(starts);
        assertThat(store.items.containsKey(JOB_KEY)).isEqualTo(kept);
        assertThat(Records.registration(store.items.get(REGISTRATION)))
                .map(Registration::slice)
                .contains(registeredIn == null ? SLICE : registeredIn);
    }

    @ParameterizedTest
    @CsvSource({"REJECT", "LOSE_ANSWER", "LOSE_CALL"})
    void should_schedule_a_job_once_after_a_failed_call(Fault fault) throws InterruptedException {
        // given
        store.firstFaults.add(fault);

        // when
        register();
        register();
        for (int i = 0; i < 500 && scheduled.get() == 0; i++) {
            Thread.sleep(10);
        }

        // then
        assertThat(scheduled).hasValue(1);
    }

    @Test
    void should_not_schedule_a_job_that_is_cancelled_meanwhile() {
        // given
        store.beforeNextTransaction = () -> registrar.drop("j");

        // when
        register();

        // then
        assertThat(scheduled).hasValue(0);
    }

    @Test
    void should_leave_a_job_to_the_next_owner_once_the_claim_is_replaced() {
        // given
        put(StoreKeys.owner(SLICE), new Records.Owner("b", "1"), TOKEN + 1);

        // when
        register();

        // then
        assertThat(scheduled).hasValue(0);
        assertThat(store.items).containsKey(JOB_KEY).doesNotContainKey(REGISTRATION);
    }
}
