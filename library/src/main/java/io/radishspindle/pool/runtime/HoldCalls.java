package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.core.SentHold;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.port.WorkerControl.HoldReply;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.Map;

/**
 * Sends holds to workers and waits for their answers for as long as these are relevant: a congested link delays an
 * answer by seconds, and what it reports has happened nevertheless. Confined to one event loop.
 *
 * <p>Invariants: each hold has one result, at the latest when its answer is due; an answer after that is delivered as a
 * late one. At most {@link #MAX_OVERDUE} holds of a worker wait for a late answer.
 */
final class HoldCalls {
    /** Receives the outcomes of holds. */
    interface Listener {
        /** The answer of a worker, or a failure if there was none by the time it was due. */
        void onResult(WorkerEntry worker, SentHold hold, Either<Failure, HoldReply> result);

        /** The answer to a hold whose result was a failure. */
        void onLateReply(WorkerEntry worker, SentHold hold, HoldReply reply);
    }

    /** Keeps the connections to a pool of 300 silent workers below the descriptors of a VM, which has 2,212 or more. */
    private static final int MAX_OVERDUE = 4;

    private final Vertx vertx;
    private final WorkerControl control;
    private final Listener listener;
    /** Number of holds that wait for a late answer, by worker. */
    private final Map<String, Integer> overdue = new HashMap<>();

    private boolean closed;

    HoldCalls(Vertx vertx, WorkerControl control, Listener listener) {
        this.vertx = vertx;
        this.control = control;
        this.listener = listener;
    }

    /** Sends a hold; no other hold of the worker may wait for its result. */
    void send(WorkerEntry worker, SentHold hold) {
        new Call(worker, hold).start();
    }

    /** Delivers nothing from now on. Calls that are open end with their time limits. */
    void close() {
        closed = true;
    }

    /** One hold; belongs to the event loop. */
    private final class Call {
        private final WorkerEntry worker;
        private final SentHold hold;
        private boolean isOverdue;

        Call(WorkerEntry worker, SentHold hold) {
            this.worker = worker;
            this.hold = hold;
        }

        void start() {
            boolean mayBeLate = overdue.getOrDefault(worker.id(), 0) < MAX_OVERDUE;
            long untilMs = mayBeLate ? hold.relevantUntilMs() : hold.dueMs();
            long timer = vertx.setTimer(Math.max(1, hold.dueMs() - hold.sentAtMs()), ignored -> onDue());
            control.hold(worker, hold.order(), untilMs - hold.sentAtMs()).onSuccess(result -> onEnd(timer, result));
        }

        private void onDue() {
            isOverdue = true;
            overdue.merge(worker.id(), 1, Integer::sum);
            if (!closed) {
                String error = "no answer in " + (hold.dueMs() - hold.sentAtMs()) + " ms";
                listener.onResult(
                        worker,
                        hold,
                        Either.left(
                                new Failure(ErrorCode.DEADLINE_EXCEEDED, "worker.hold", worker.id(), error, false, 0)));
            }
        }

        private void onEnd(long timer, Either<Failure, HoldReply> result) {
            vertx.cancelTimer(timer);
            if (isOverdue) {
                overdue.computeIfPresent(worker.id(), (id, count) -> count > 1 ? count - 1 : null);
            }
            if (closed) {
                return;
            }
            if (!isOverdue) {
                listener.onResult(worker, hold, result);
            } else if (result.isRight()) {
                listener.onLateReply(worker, hold, result.get());
            }
        }
    }
}
