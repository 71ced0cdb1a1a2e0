package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.protocol.message.PoolMessages.JobStored;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against jobs that are stored although they were rejected, and against two jobs with the same id. */
class JobIntakeTest {
    /** Long enough for the slowest machine; shorter only in the test that waits for the deadline. */
    private long deadlineAfterMs = 8_000;

    private final FakeSharedStore store = new FakeSharedStore();
    private final SystemClock clock = new SystemClock();
    private final ControlView view = new ControlView(clock);
    private final List<JobStored> stored = new ArrayList<>();
    private boolean storeUnavailable;
    private Vertx vertx;
    private Context context;
    private JobIntake intake;

    @BeforeEach
    void createIntake() {
        vertx = Vertx.vertx();
        context = vertx.getOrCreateContext();
        intake = new JobIntake(
                vertx, clock, store, view, new PoolSlices(view), stored::add, () -> storeUnavailable, () -> 2_000);
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private Either<Failure, PoolJob> submit(String id) throws TimeoutException {
        return submitLater(id).await(10, TimeUnit.SECONDS);
    }

    private Future<Either<Failure, PoolJob>> submitLater(String id) {
        return submitAll(List.of(job(id))).map(results -> results.get(0));
    }

    /** Submits in one turn of the event loop to which the intake belongs. */
    private Future<List<Either<Failure, PoolJob>>> submitAll(List<PoolJob> jobs) {
        Promise<List<Either<Failure, PoolJob>>> promise = Promise.promise();
        context.runOnContext(ignored -> Future.all(jobs.stream()
                        .map(job -> intake.submit(job, clock.nowMs() + deadlineAfterMs))
                        .toList())
                .map(all -> all.<Either<Failure, PoolJob>>list())
                .onComplete(promise));
        return promise.future();
    }

    private static PoolJob job(String id) {
        return job(id, null);
    }

    private static PoolJob job(String id, @Nullable String tenant) {
        StepSpec step = new StepSpec(
                1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new PoolJob(id, "q", "pool", "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, tenant, "h/q/");
    }

    /** The jobs of all pools, without the registrations of their ids. */
    private List<Item> storedJobs() {
        return store.items.values().stream()
                .filter(item -> item.key().contains("/intake/"))
                .toList();
    }

    @Test
    void should_store_many_jobs_in_few_calls() throws TimeoutException {
        // given a limit of entries that allows seven jobs, each with two conditions and two writes, and their claim
        int leastCalls = 5;

        // when
        submitAll(IntStream.range(0, 30).mapToObj(i -> job("j" + i)).toList()).await(10, TimeUnit.SECONDS);

        // then
        assertThat(storedJobs()).hasSize(30);
        assertThat(store.calls).isEqualTo(leastCalls);
        assertThat(stored).hasSize(30);
    }

    @Test
    void should_accept_a_repeated_id_as_the_same_job() throws TimeoutException {
        // given
        submit("j");
        long revision = storedJobs().get(0).revision();

        // when
        Either<Failure, PoolJob> again = submit("j");

        // then
        assertThat(again.isRight()).isTrue();
        assertThat(storedJobs()).singleElement().satisfies(item -> assertThat(item.revision())
                .isEqualTo(revision));
    }

    /** Guards against an acceptance of a job that never runs, as the id belongs to a job of somebody else. */
    @ParameterizedTest
    @CsvSource({"studio, studio, true", "studio, desk, false", "studio, , true", ", desk, true"})
    void should_accept_a_repeated_id_unless_it_is_of_another_tenant(
            @Nullable String first, @Nullable String second, boolean accepted) throws TimeoutException {
        // given
        submitAll(List.of(job("j", first))).await(10, TimeUnit.SECONDS);
        long revision = storedJobs().get(0).revision();

        // when
        var again =
                submitAll(List.of(job("j", second))).await(10, TimeUnit.SECONDS).get(0);

        // then
        assertThat(again.isRight()).isEqualTo(accepted);
        assertThat(again.swap().map(failure -> failure.code() == ErrorCode.FORBIDDEN && failure.notRun()))
                .allMatch(forbidden -> forbidden);
        assertThat(storedJobs()).singleElement().satisfies(item -> assertThat(item.revision())
                .isEqualTo(revision));
    }

    @Test
    void should_store_the_new_jobs_of_a_batch_in_which_one_id_exists() throws TimeoutException {
        // given
        submit("a");

        // when
        List<Either<Failure, PoolJob>> results =
                submitAll(List.of(job("a"), job("b"))).await(10, TimeUnit.SECONDS);

        // then
        assertThat(results).allMatch(Either::isRight);
        assertThat(storedJobs()).hasSize(2);
    }

    @Test
    void should_reject_at_once_when_the_store_has_rejected_the_write() throws TimeoutException {
        // given
        store.fault = Fault.REJECT;

        // when
        Either<Failure, PoolJob> result = submit("j");

        // then
        assertThat(result.getLeft().notRun()).isTrue();
        assertThat(result.getLeft().retryAfterMs()).isEqualTo(2_000);
        assertThat(store.items).isEmpty();
    }

    @Test
    void should_accept_a_job_whose_first_answer_was_lost() throws TimeoutException {
        // given
        store.firstFaults.add(Fault.LOSE_ANSWER);

        // when
        Either<Failure, PoolJob> result = submit("j");

        // then
        assertThat(result.isRight()).isTrue();
        assertThat(stored).extracting(message -> message.job().id()).containsExactly("j");
    }

    @Test
    void should_never_report_an_unknown_outcome_as_not_run() throws TimeoutException {
        // given
        deadlineAfterMs = 300;
        store.firstFaults.add(Fault.LOSE_CALL);
        store.fault = Fault.REJECT;

        // when
        Either<Failure, PoolJob> result = submit("j");

        // then
        assertThat(result.getLeft().notRun()).isFalse();
    }

    @Test
    void should_report_an_unknown_outcome_at_once_while_the_store_is_unavailable() throws TimeoutException {
        // given
        store.fault = Fault.LOSE_CALL;
        storeUnavailable = true;

        // when
        Either<Failure, PoolJob> result = submit("j");

        // then
        assertThat(result.getLeft().notRun()).isFalse();
        assertThat(store.calls).isEqualTo(1);
    }

    /** Guards against two jobs with one id, when two VMs with unlike configurations take it at once. */
    @ParameterizedTest
    @CsvSource({"pool, pool, true", "pool, other, true", "other, pool, true"})
    void should_store_one_job_for_an_id_that_is_submitted_for_two_pools(String first, String second, boolean accepted)
            throws TimeoutException {
        // given
        JobIntake otherVm = new JobIntake(
                vertx,
                clock,
                store,
                new ControlView(clock),
                new PoolSlices(new ControlView(clock)),
                stored::add,
                () -> false,
                () -> 2_000);
        Promise<Either<Failure, PoolJob>> repeated = Promise.promise();
        context.runOnContext(ignored -> otherVm.submit(job("j").inPool(second), clock.nowMs() + deadlineAfterMs)
                .onComplete(repeated));

        // when
        var results = submitAll(List.of(job("j").inPool(first))).await(10, TimeUnit.SECONDS);

        // then
        assertThat(results.get(0).isRight()).isEqualTo(accepted);
        assertThat(repeated.future().await(10, TimeUnit.SECONDS).isRight()).isEqualTo(accepted);
        assertThat(storedJobs()).hasSize(1);
        assertThat(stored).hasSize(1);
    }

    /** Guards against a second job beside one of an earlier release, which registers no ids. */
    @ParameterizedTest
    @CsvSource({"pool, studio, true", "moved, studio, true", "moved, desk, false"})
    void should_find_an_unregistered_job_in_another_pool(String pool, String tenant, boolean accepted)
            throws TimeoutException {
        // given
        String slices = StoreKeys.slices("pool");
        view.onChanged(new Item(slices, Records.encode(new Records.Slices(1)), 3));
        String key = StoreKeys.job("pool", "j");
        store.items.put(key, new Item(key, Records.encode(Map.of("id", "j", "tenant", "studio")), 4));

        // when
        var result = submitAll(List.of(job("j", tenant).inPool(pool)))
                .await(10, TimeUnit.SECONDS)
                .get(0);

        // then
        assertThat(result.isRight()).isEqualTo(accepted);
        assertThat(storedJobs()).extracting(Item::revision).containsExactly(4L);
    }

    private void claim(long revision) {
        String key = StoreKeys.owner("pool");
        store.items.put(key, new Item(key, Records.encode(new Records.Owner("vm", "1")), revision));
    }

    private long claimOfStoredJob() {
        Item item = Objects.requireNonNull(store.items.get(StoreKeys.job("pool", "j")));
        return Records.claimOfJob(item.key(), Objects.requireNonNull(item.value()));
    }

    /** Guards against a job that a replaced owner and the new one both take for their own, and both start. */
    @ParameterizedTest
    @CsvSource({"NONE, 6, 6", "REJECT, 0, 0", "LOSE_CALL, 6, 6", "LOSE_ANSWER, 5, 5"})
    void should_name_the_claim_that_was_in_force_when_the_job_was_stored(Fault first, long inItem, long announced)
            throws TimeoutException {
        // given a claim that is replaced at the first attempt, after it if the store carries that out
        claim(5);
        view.onChanged(Objects.requireNonNull(store.items.get(StoreKeys.owner("pool"))));
        store.firstFaults.add(first);
        if (first == Fault.LOSE_ANSWER) {
            store.beforeNextTransaction = () -> store.beforeNextTransaction = () -> claim(6);
        } else {
            claim(6);
        }

        // when
        Either<Failure, PoolJob> result = submit("j");
        store.lostCalls.forEach(Runnable::run);

        // then
        assertThat(result.isRight()).isEqualTo(first != Fault.REJECT);
        assertThat(stored)
                .extracting(JobStored::claim)
                .containsExactlyElementsOf(announced == 0 ? List.of() : List.of(announced));
        assertThat(inItem == 0 ? 0 : claimOfStoredJob()).isEqualTo(inItem);
    }

    /** Guards against a start of a cancelled job: an owner that has listed the item only after its end would add it. */
    @Test
    void should_not_announce_a_job_that_has_been_cancelled_while_its_outcome_was_unknown() throws TimeoutException {
        // given
        String key = StoreKeys.job("pool", "j");
        Records.EndedJob cancelled = new Records.EndedJob(JobPhase.CANCELLED, null, clock.wallMs());
        store.firstFaults.add(Fault.LOSE_ANSWER);
        store.beforeNextTransaction = () ->
                store.beforeNextTransaction = () -> store.items.put(key, new Item(key, Records.encode(cancelled), 9));

        // when
        submit("j");

        // then
        assertThat(stored).isEmpty();
    }
}
