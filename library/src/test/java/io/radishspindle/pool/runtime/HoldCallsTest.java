package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.core.SentHold;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.HoldReply;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against late answers that are lost, and against any number of calls to a worker that never answers. */
class HoldCallsTest {
    private static final long DUE_MS = 20;
    private static final long RELEVANT_MS = 5_000;
    private static final WorkerEntry WORKER =
            PoolOwnerFixture.entries("w", 1, 1).get(0);
    private static final HoldReply REPLY = new HoldReply(Answer.ACCEPTED, new WorkerReport(1, 1, List.of(), List.of()));

    /** Answers when the test says so. */
    private static final class Control implements WorkerControl {
        final List<Promise<Either<Failure, HoldReply>>> calls = new ArrayList<>();
        final List<Long> timeLimitsMs = new ArrayList<>();

        @Override
        public Future<Either<Failure, HoldReply>> hold(WorkerEntry worker, HoldOrder order, long timeLimitMs) {
            Promise<Either<Failure, HoldReply>> call = Promise.promise();
            calls.add(call);
            timeLimitsMs.add(timeLimitMs);
            return call.future();
        }

        @Override
        public Future<Either<Failure, Reply>> start(WorkerEntry worker, StartOrder order) {
            throw new AssertionError();
        }

        @Override
        public Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long token) {
            throw new AssertionError();
        }

        @Override
        public Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long token) {
            throw new AssertionError();
        }
    }

    private final Vertx vertx = Vertx.vertx();
    private final Control control = new Control();
    private final List<String> outcomes = new CopyOnWriteArrayList<>();
    private final HoldCalls calls = new HoldCalls(vertx, control, new HoldCalls.Listener() {
        @Override
        public void onResult(WorkerEntry worker, SentHold hold, Either<Failure, HoldReply> result) {
            outcomes.add(hold.number() + (result.isRight() ? " answered" : " failed"));
        }

        @Override
        public void onLateReply(WorkerEntry worker, SentHold hold, HoldReply reply) {
            outcomes.add(hold.number() + " late");
        }
    });

    @AfterEach
    void close() {
        vertx.close().await();
    }

    private void send(long number) {
        HoldOrder order = new HoldOrder(0, 1, 0, 0);
        calls.send(WORKER, new SentHold(WORKER, order, 0, DUE_MS, RELEVANT_MS, number));
    }

    private void sendUntilOverdue(int number) throws Exception {
        send(number);
        for (int i = 0; i < 500 && outcomes.size() < number; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        assertThat(outcomes).hasSize(number);
    }

    @Test
    void should_deliver_an_answer_once() throws Exception {
        // when
        send(1);
        control.calls.get(0).complete(Either.right(REPLY));
        TimeUnit.MILLISECONDS.sleep(3 * DUE_MS);

        // then
        assertThat(outcomes).containsExactly("1 answered");
    }

    @Test
    void should_deliver_a_late_answer_after_the_failure() throws Exception {
        // given
        sendUntilOverdue(1);

        // when
        control.calls.get(0).complete(Either.right(REPLY));

        // then
        assertThat(outcomes).containsExactly("1 failed", "1 late");
    }

    @Test
    void should_wait_for_the_late_answers_to_four_holds_at_most() throws Exception {
        // given
        for (int number = 1; number <= 4; number++) {
            sendUntilOverdue(number);
        }

        // when
        send(5);

        // then
        assertThat(control.timeLimitsMs).containsExactly(RELEVANT_MS, RELEVANT_MS, RELEVANT_MS, RELEVANT_MS, DUE_MS);

        // when a late answer arrives
        control.calls.get(0).complete(Either.right(REPLY));
        send(6);

        // then
        assertThat(control.timeLimitsMs).endsWith(RELEVANT_MS);
    }

    @Test
    void should_deliver_nothing_once_closed() throws Exception {
        // given
        sendUntilOverdue(1);
        send(2);

        // when
        calls.close();
        control.calls.forEach(call -> call.complete(Either.right(REPLY)));

        // then
        assertThat(outcomes).containsExactly("1 failed");
    }
}
