package io.radishspindle.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.FairSharePlacement;
import io.radishspindle.placement.PlacementPolicy;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the answers of the runtime outside the protocol itself: before ownership, and after it has stopped. */
class GroupRuntimeTest {
    private static final JobSpec JOB = new JobSpec("j", "t", "f", JobClass.BATCH, 1, Resources.NONE, 1, 1, Map.of());

    private final Vertx vertx = Vertx.vertx();
    private final GroupRuntime runtime = new GroupRuntime(
            vertx,
            new SystemClock(),
            new DeadStore(),
            (worker, request, timeoutMs) -> Future.succeededFuture(unavailable()),
            settings(),
            seed -> new FairSharePlacement(seed, PlacementPolicy.DEFAULT));

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void should_refuse_as_not_run_before_it_owns_the_group() throws Exception {
        // given
        runtime.start();

        // when
        Either<Failure, JobStatus> result = await(runtime.submit("dc1/g0", 1, JOB));

        // then
        assertThat(result.getLeft().code()).isEqualTo(ErrorCode.NO_OWNER);
        assertThat(result.getLeft().notRun()).isTrue();
        runtime.close();
    }

    @Test
    void should_refuse_a_group_of_another_data_centre() throws Exception {
        runtime.start();

        Either<Failure, JobStatus> result = await(runtime.submit("dc2/g0", 1, JOB));

        assertThat(result.getLeft().code()).isEqualTo(ErrorCode.NOT_FOUND);
        runtime.close();
    }

    @Test
    void should_not_find_an_unknown_job() throws Exception {
        runtime.start();

        assertThat(runtime.status("dc1/g0", "j", 0).getLeft().code()).isEqualTo(ErrorCode.NO_OWNER);
        assertThat(await(runtime.cancel("j", "me")).getLeft().code()).isEqualTo(ErrorCode.NOT_FOUND);
        runtime.close();
    }

    @Test
    void should_refuse_after_it_has_stopped() throws Exception {
        runtime.start();
        runtime.close();

        assertThat(await(runtime.submit("dc1/g0", 1, JOB)).getLeft().code()).isEqualTo(ErrorCode.NOT_READY);
        assertThat(runtime.summaries()).isEmpty();
    }

    @Test
    void should_release_at_once_when_it_owns_nothing() throws Exception {
        runtime.start();

        await(runtime.release());

        assertThat(runtime.summaries()).isEmpty();
        runtime.close();
    }

    private static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static <T> Either<Failure, T> unavailable() {
        return Either.left(Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "test", "", "down", 0));
    }

    private static EntrySettings settings() {
        return new EntrySettings(
                new EntrySettings.Vm("vm1", "dc1", "r1", "127.0.0.1"),
                new EntrySettings.Listen(0, 0, 0),
                new EntrySettings.Peers(List.of(), List.of(), "", 250, 1_000, 1_000, 3_000),
                new EntrySettings.Platform("127.0.0.1", 1, "127.0.0.1", 2, 1_000, 1_000),
                new EntrySettings.Ownership(2, 1_000, 3_000, 6_000, 1_000),
                new EntrySettings.Routing(10_000, 60_000, 1_000, 200, 1_000, 3, 0.1, 50, 1_000, 30_000));
    }

    /** A store that is out. */
    private static final class DeadStore implements Store {
        @Override
        public Future<Either<Failure, Entry>> get(String key) {
            return Future.succeededFuture(unavailable());
        }

        @Override
        public Future<Either<Failure, Long>> put(String key, byte[] value, long expectedVersion) {
            return Future.succeededFuture(unavailable());
        }

        @Override
        public Future<Either<Failure, Long>> delete(String key, long expectedVersion) {
            return Future.succeededFuture(unavailable());
        }

        @Override
        public Future<Either<Failure, List<Entry>>> list(String prefix) {
            return Future.succeededFuture(unavailable());
        }

        @Override
        public Future<Either<Failure, Changes>> watch(String prefix, long afterRevision, long waitMs) {
            return Future.succeededFuture(unavailable());
        }
    }
}
