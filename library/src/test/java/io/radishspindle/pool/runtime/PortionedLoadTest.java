package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobSummary;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.protocol.PeerDirectory;
import io.radishspindle.protocol.TcpPeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.PoolPing;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new owner that blocks its event loop while it loads the jobs, so that it answers no ping and is
 * superseded, and against jobs, cancellations and reports that arrive meanwhile and are lost or applied twice.
 */
class PortionedLoadTest {
    private static final String POOL = "desk";
    private static final int JOBS = 1_000;
    private static final long TIMEOUT_MS = 10_000;

    /** A clock on which every reading takes 1 ms, so that the length of a portion does not depend on the machine. */
    private static final class CountingClock implements Clock {
        private long nowMs = 10_000;

        @Override
        public long nowMs() {
            return nowMs++;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }
    }

    /** Answers the first hold of each worker with a report of one run; later holds stay open. */
    private final class ReportingWorkers implements WorkerControl {
        private final List<String> reported = new ArrayList<>();
        private final List<Run> stopped = new ArrayList<>();

        @Override
        public Future<Either<Failure, HoldReply>> hold(WorkerEntry worker, HoldOrder order, long timeLimitMs) {
            if (reported.contains(worker.id())) {
                return Promise.<Either<Failure, HoldReply>>promise().future();
            }
            reported.add(worker.id());
            Run run = new Run(new TaskName(id(reported.size()), 0, 0, 0), 1);
            return Future.succeededFuture(Either.right(new HoldReply(
                    Answer.ACCEPTED,
                    new WorkerReport(500, 1_000, List.of(new RunningTask(run, "", 100, -1)), List.of()))));
        }

        @Override
        public Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long fencingToken) {
            stopped.add(run);
            return Promise.<Either<Failure, Reply>>promise().future();
        }

        @Override
        public Future<Either<Failure, Reply>> start(WorkerEntry worker, StartOrder order) {
            return Promise.<Either<Failure, Reply>>promise().future();
        }

        @Override
        public Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long fencingToken) {
            return Promise.<Either<Failure, Reply>>promise().future();
        }
    }

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context loop = vertx.getOrCreateContext();
    private final Clock clock = new CountingClock();
    private final FakeSharedStore store = new FakeSharedStore();
    private final ReportingWorkers workers = new ReportingWorkers();
    private PoolOwner owner;

    @BeforeEach
    void createOwner() throws Exception {
        store.watchesWait = true;
        for (int i = 0; i < JOBS; i++) {
            store(StoreKeys.job(POOL, id(i)), Records.encode(job(id(i))), 1);
        }
        store(StoreKeys.owner(POOL), Records.encode(new Records.Owner("a", "1")), 2);
        ControlView view = new ControlView(clock);
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        AdviceChannel channel = new AdviceChannel(clock, (step, ids, timeoutMs) -> Future.succeededFuture());
        AdviceDispatcher advice =
                new AdviceDispatcher(clock, channel, new FakeMessenger(), self, view, () -> List.of(POOL));
        QuotaKeeper quotas =
                new QuotaKeeper(vertx, clock, store, store, Optional::empty, () -> List.of(POOL), answered -> {});
        owner = onLoop(() -> new PoolOwner(
                vertx,
                clock,
                store,
                workers,
                advice,
                quotas,
                new MetricRegistry(),
                POOL,
                2,
                new EarlierOwners(clock, store, new FakeMessenger(), self, POOL, 2, 0),
                new DeclaredRunTimes(),
                10_000,
                (pool, reason) -> {}));
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private static String id(int number) {
        return "job" + number;
    }

    private static PoolJob job(String id) {
        StepSpec step = new StepSpec(
                1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new PoolJob(id, "q", POOL, "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, null, "h/q/");
    }

    private void store(String key, byte[] value, long revision) {
        store.items.put(key, new Item(key, value, revision));
    }

    private <T> T onLoop(Callable<T> action) {
        Promise<T> result = Promise.promise();
        loop.runOnContext(ignored -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.fail(e);
            }
        });
        return result.future().await();
    }

    private Optional<JobPhase> phase(int number) {
        return owner.summary(id(number)).map(JobSummary::phase);
    }

    private void awaitOnLoop(Callable<Boolean> condition) throws InterruptedException {
        for (int i = 0; i < 1_000 && !onLoop(condition); i++) {
            Thread.sleep(10);
        }
        assertThat(onLoop(condition)).isTrue();
    }

    private TcpPeerMessenger messenger(String vm, int port) {
        TcpPeerMessenger messenger = new TcpPeerMessenger(
                vertx,
                new SystemClock(),
                vm,
                "127.0.0.1",
                0,
                "0123456789abcdef",
                other -> Optional.of(new PeerDirectory.PeerAddress("127.0.0.1", port)));
        messenger.start().await();
        return messenger;
    }

    @Test
    void should_answer_pings_while_it_loads_1000_jobs() throws Exception {
        // given a peer on the same event loop, which pings again at each answer
        List<Boolean> loadedAtPing = new ArrayList<>();
        TcpPeerMessenger target = messenger("target", 0);
        target.handle(PoolPing.class, (vm, ping) -> {
            loadedAtPing.add(phase(0).isPresent());
            return Future.succeededFuture(Either.right(new PoolPong(true, 0)));
        });
        TcpPeerMessenger peer = messenger("peer", target.port());
        peer.request("target", new PoolPing(POOL), PoolPong.class, TIMEOUT_MS).await();
        loadedAtPing.clear();

        // when
        onLoop(() -> {
            owner.start(List.of());
            pingUntilLoaded(peer);
            return true;
        });
        awaitOnLoop(() -> phase(0).isPresent());

        // then
        assertThat(loadedAtPing.stream().filter(loaded -> !loaded)).hasSizeGreaterThan(10);
        assertThat(onLoop(owner::unfinishedJobs)).isEqualTo(JOBS);
    }

    private void pingUntilLoaded(TcpPeerMessenger peer) {
        peer.request("target", new PoolPing(POOL), PoolPong.class, TIMEOUT_MS).onSuccess(reply -> {
            if (phase(0).isEmpty()) {
                pingUntilLoaded(peer);
            }
        });
    }

    @Test
    void should_neither_lose_nor_repeat_what_arrives_while_it_loads() throws Exception {
        // given
        PoolJob late = job("late");

        // when a job and a cancellation are stored and announced after the listing
        boolean loadedAtOnce = onLoop(() -> {
            owner.start(List.of());
            store(StoreKeys.job(POOL, "late"), Records.encode(late), 11);
            store(StoreKeys.cancellation(POOL, id(3)), new byte[] {1}, 12);
            owner.onJobStored(late, 2);
            owner.onCancelStored(id(3));
            return phase(0).isPresent();
        });
        awaitOnLoop(() -> owner.summary("late").isPresent());
        onLoop(() -> {
            owner.onJobStored(late, 2);
            return true;
        });

        // then
        assertThat(loadedAtOnce).isFalse();
        assertThat(onLoop(() -> phase(3))).contains(JobPhase.CANCELLED);
        assertThat(onLoop(owner::unfinishedJobs)).isEqualTo(JOBS);
    }

    @Test
    void should_keep_the_runs_in_reports_that_arrive_before_the_jobs_are_loaded() throws Exception {
        // given
        List<WorkerEntry> entries = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Resources capacity = new Resources(16_000, 32_000, 0);
            entries.add(new WorkerEntry("w" + i, POOL, "10.0.0.1", i, "dc", "r", false, -1, 500, capacity, List.of()));
        }

        // when
        onLoop(() -> {
            owner.start(entries);
            return true;
        });
        awaitOnLoop(() -> phase(60).filter(JobPhase.RUNNING::equals).isPresent());

        // then
        assertThat(onLoop(() -> List.copyOf(workers.reported))).hasSize(60);
        assertThat(onLoop(() -> List.copyOf(workers.stopped))).isEmpty();
    }

    @Test
    void should_load_nothing_once_it_has_released_the_pool() throws Exception {
        // when
        onLoop(() -> {
            owner.start(List.of());
            owner.release(Optional.empty());
            return true;
        });
        Thread.sleep(100);

        // then
        assertThat(onLoop(owner::unfinishedJobs)).isZero();
        assertThat(store.items).doesNotContainKey(StoreKeys.owner(POOL));
        assertThat(Map.copyOf(store.items)).hasSize(JOBS);
    }
}
