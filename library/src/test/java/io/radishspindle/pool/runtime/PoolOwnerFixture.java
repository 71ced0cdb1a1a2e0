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
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * An owner of a pool on an event loop of its own, with a store in memory and workers that run what they are told to.
 * The methods run on the loop but for {@link #onLoop}, {@link #awaitOnLoop} and {@link #close}.
 */
final class PoolOwnerFixture {
    static final String POOL = "desk";
    static final long ANSWER_DELAY_MS = 10;

    /** Workers that run what they are told to until the end of the test. */
    final class BusyWorkers implements WorkerControl {
        private final Map<String, List<Run>> running = new HashMap<>();
        private long fencingToken;
        /** Whether holds get no answer. */
        boolean silent;

        @Override
        public Future<Either<Failure, HoldReply>> hold(WorkerEntry worker, HoldOrder order, long timeLimitMs) {
            if (order.fencingToken() < fencingToken) {
                return later(new HoldReply(Answer.FENCED, new WorkerReport(0, 0, List.of(), List.of())));
            }
            fencingToken = order.fencingToken();
            if (silent || !worker.id().startsWith("w")) {
                return Promise.<Either<Failure, HoldReply>>promise().future();
            }
            List<RunningTask> tasks = runs(worker).stream()
                    .map(run -> new RunningTask(run, "", 100, -1))
                    .toList();
            return later(new HoldReply(Answer.ACCEPTED, new WorkerReport(500, 1_000, tasks, List.of())));
        }

        @Override
        public Future<Either<Failure, Reply>> start(WorkerEntry worker, StartOrder order) {
            runs(worker).add(order.run());
            return later(new Reply(Answer.ACCEPTED, 1_000));
        }

        @Override
        public Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long token) {
            return later(new Reply(Answer.ACCEPTED, 1_000));
        }

        @Override
        public Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long token) {
            return later(new Reply(Answer.ACCEPTED, 1_000));
        }

        private List<Run> runs(WorkerEntry worker) {
            return running.computeIfAbsent(worker.id(), ignored -> new ArrayList<>());
        }

        List<Run> all() {
            return running.values().stream().flatMap(List::stream).toList();
        }

        private <T> Future<Either<Failure, T>> later(T answer) {
            return vertx.timer(ANSWER_DELAY_MS, TimeUnit.MILLISECONDS).map(ignored -> Either.<Failure, T>right(answer));
        }
    }

    final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Context loop = vertx.getOrCreateContext();
    private final Clock clock = new SystemClock();
    final FakeSharedStore store = new FakeSharedStore();
    final BusyWorkers workers = new BusyWorkers();
    PoolOwner owner;
    private long token;

    void close() {
        vertx.close().await();
    }

    void createOwner(long token) {
        createOwner(token, workers);
    }

    void createOwner(long token, WorkerControl control) {
        this.token = token;
        store.watchesWait = true;
        store.items.put(
                StoreKeys.owner(POOL),
                new Item(StoreKeys.owner(POOL), Records.encode(new Records.Owner("a", "1")), token));
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        AdviceChannel channel = new AdviceChannel(clock, (step, ids, timeoutMs) -> Future.succeededFuture());
        AdviceDispatcher advice = new AdviceDispatcher(
                clock, channel, new FakeMessenger(), self, new ControlView(clock), () -> List.of(POOL));
        QuotaKeeper quotas =
                new QuotaKeeper(vertx, clock, store, store, Optional::empty, () -> List.of(POOL), answered -> {});
        owner = new PoolOwner(
                vertx,
                clock,
                store,
                control,
                advice,
                quotas,
                new MetricRegistry(),
                POOL,
                token,
                new EarlierOwners(clock, store, new FakeMessenger(), self, POOL, token, 0),
                new DeclaredRunTimes(),
                10_000,
                (pool, reason) -> {});
    }

    static PoolJob job(String id) {
        StepSpec step = new StepSpec(
                1,
                new Resources(4_000, 1, 0),
                60_000,
                List.of(),
                false,
                false,
                false,
                "",
                "",
                0,
                false,
                false,
                "",
                0,
                false,
                0);
        return new PoolJob(id, "q", POOL, "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, null, "h/q/");
    }

    void submit(String id) {
        String key = StoreKeys.job(POOL, id);
        store.items.put(key, new Item(key, Records.encode(job(id)), 5));
        owner.onJobStored(job(id), token);
    }

    static List<WorkerEntry> entries(String prefix, int count, int tasks) {
        List<WorkerEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new WorkerEntry(
                    prefix + i,
                    POOL,
                    "10.0.0.1",
                    100 + i,
                    "dc",
                    "r" + i,
                    false,
                    -1,
                    500,
                    new Resources(tasks * 4_000L, 32_000, 0),
                    List.of()));
        }
        return entries;
    }

    <T> T onLoop(Callable<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.runOnContext(ignored -> {
            try {
                result.complete(action.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(10, TimeUnit.SECONDS);
    }

    void awaitOnLoop(Callable<Boolean> condition) throws Exception {
        for (int i = 0; i < 500 && !onLoop(condition); i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(onLoop(condition)).isTrue();
    }

    Optional<JobPhase> phase(String job) {
        return owner.summary(job).map(JobSummary::phase);
    }
}
