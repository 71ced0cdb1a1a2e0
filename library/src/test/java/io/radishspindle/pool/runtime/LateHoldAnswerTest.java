package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against a second run of a task whose first run has succeeded, and whose worker has reported this in time, in
 * an answer that a congested link delays by seconds.
 */
class LateHoldAnswerTest {
    private static final long RUN_MS = 2_000;
    /** Shorter than the rest of the lease when the run ends. */
    private static final long DELAY_MS = 3_000;
    /** Beyond the end of all leases of a worker that is silent from the start of the run on. */
    private static final long WATCHED_MS = 9_000;

    /** What the link delays. */
    enum Congested {
        REQUESTS,
        ANSWERS
    }

    /** A worker that ends its runs as done, and its path to the owner. */
    private static final class DistantWorker {
        final List<Run> running = new ArrayList<>();
        final List<EndedRun> ended = new ArrayList<>();
        final List<Runnable> waiting = new ArrayList<>();
        long requestDelayMs;
        long answerDelayMs;
    }

    /** Delivers calls and answers with the delays of the paths. */
    private final class DistantWorkers implements WorkerControl {
        private final Map<String, DistantWorker> workers = new HashMap<>();
        final List<Run> starts = new ArrayList<>();

        DistantWorker worker(String id) {
            return workers.computeIfAbsent(id, ignored -> new DistantWorker());
        }

        DistantWorker workerOf(Run run) {
            return workers.values().stream()
                    .filter(worker -> worker.running.contains(run))
                    .findFirst()
                    .orElseThrow();
        }

        private void after(long delayMs, Runnable action) {
            pool.vertx.setTimer(Math.max(1, delayMs), ignored -> action.run());
        }

        private <T> Future<Either<Failure, T>> failAfter(long limitMs, Promise<Either<Failure, T>> promise) {
            after(
                    limitMs,
                    () -> promise.tryComplete(Either.left(
                            new Failure(ErrorCode.DEADLINE_EXCEEDED, "worker", "", "no answer", false, 0))));
            return promise.future();
        }

        @Override
        public Future<Either<Failure, HoldReply>> hold(WorkerEntry entry, HoldOrder order, long timeLimitMs) {
            DistantWorker worker = worker(entry.id());
            Promise<Either<Failure, HoldReply>> promise = Promise.promise();
            after(worker.requestDelayMs, () -> {
                worker.ended.removeIf(end -> end.sequence() <= order.acknowledged());
                Runnable answer = () -> answer(worker, promise);
                if (order.waitMs() == 0 || !worker.ended.isEmpty()) {
                    answer.run();
                    return;
                }
                worker.waiting.add(answer);
                after(order.waitMs(), () -> {
                    if (worker.waiting.remove(answer)) {
                        answer.run();
                    }
                });
            });
            return failAfter(timeLimitMs, promise);
        }

        private void answer(DistantWorker worker, Promise<Either<Failure, HoldReply>> promise) {
            List<RunningTask> running = worker.running.stream()
                    .map(run -> new RunningTask(run, "", 100, -1))
                    .toList();
            WorkerReport report = new WorkerReport(500, System.nanoTime() / 1_000_000, running, worker.ended);
            after(
                    worker.answerDelayMs,
                    () -> promise.tryComplete(Either.right(new HoldReply(Answer.ACCEPTED, report))));
        }

        @Override
        public Future<Either<Failure, Reply>> start(WorkerEntry entry, StartOrder order) {
            DistantWorker worker = worker(entry.id());
            starts.add(order.run());
            worker.running.add(order.run());
            after(RUN_MS, () -> end(worker, order.run()));
            return Future.succeededFuture(Either.right(new Reply(Answer.ACCEPTED, 1)));
        }

        private void end(DistantWorker worker, Run run) {
            worker.running.remove(run);
            worker.ended.add(new EndedRun(worker.ended.size() + 1, run, RunEnd.DONE, ""));
            List<Runnable> answers = List.copyOf(worker.waiting);
            worker.waiting.clear();
            answers.forEach(Runnable::run);
        }

        @Override
        public Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long token) {
            return Future.succeededFuture(Either.right(new Reply(Answer.ACCEPTED, 1)));
        }

        @Override
        public Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long token) {
            return Future.succeededFuture(Either.right(new Reply(Answer.ACCEPTED, 1)));
        }
    }

    private final PoolOwnerFixture pool = new PoolOwnerFixture();
    private final DistantWorkers workers = new DistantWorkers();

    @BeforeEach
    void startJob() throws Exception {
        pool.onLoop(() -> {
            pool.createOwner(2, workers);
            pool.owner.start(PoolOwnerFixture.entries("w", 4, 1));
            return null;
        });
        pool.awaitOnLoop(() -> pool.owner.pending("q", "h/q/").isPresent());
        pool.onLoop(() -> {
            pool.submit("job");
            return null;
        });
        pool.awaitOnLoop(() -> workers.starts.size() == 1);
    }

    @AfterEach
    void close() {
        pool.close();
    }

    @ParameterizedTest
    @EnumSource
    void should_apply_an_end_that_was_listed_before_the_runs_of_the_worker_are_given_up(Congested congested)
            throws Exception {
        // given
        pool.onLoop(() -> {
            DistantWorker worker = workers.workerOf(workers.starts.get(0));
            worker.requestDelayMs = congested == Congested.REQUESTS ? DELAY_MS : 0;
            worker.answerDelayMs = congested == Congested.ANSWERS ? DELAY_MS : 0;
            return null;
        });

        // when
        TimeUnit.MILLISECONDS.sleep(WATCHED_MS);

        // then
        assertThat(pool.onLoop(() -> List.copyOf(workers.starts))).hasSize(1);
        assertThat(pool.onLoop(() -> pool.phase("job"))).contains(JobPhase.COMPLETED);
    }
}
