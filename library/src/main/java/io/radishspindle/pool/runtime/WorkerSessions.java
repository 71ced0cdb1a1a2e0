package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.PoolTiming;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.HoldReply;
import io.radishspindle.pool.port.WorkerControl.Reply;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Talks to the workers of one pool for its owner: one hold a worker at a time, which renews leases and brings ends,
 * and orders beside it. Belongs to one event loop.
 *
 * <p>Invariant: reports are passed on only after {@link #open}, when the jobs of the pool are known; otherwise runs of
 * known jobs would be taken for strangers and stopped.
 */
final class WorkerSessions {
    /** What the sessions tell the owner. */
    interface Listener {
        /** Answers of workers are about to be taken over. */
        void beforeReport();

        /** Something has changed that may allow a decision. */
        void onReport();

        /** A worker has seen a higher fencing token. */
        void onDeposed(String reason);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final WorkerControl control;
    private final PoolScheduler scheduler;
    private final long fencingToken;
    private final BoundedLog log;
    private final Listener listener;
    private final Set<String> polled = new HashSet<>();
    /** Answers that came before the jobs of the pool were known. */
    private final List<Runnable> early = new ArrayList<>();

    private boolean open;
    private boolean closed;

    WorkerSessions(
            Vertx vertx,
            Clock clock,
            WorkerControl control,
            PoolScheduler scheduler,
            long fencingToken,
            BoundedLog log,
            Listener listener) {
        this.vertx = vertx;
        this.clock = clock;
        this.control = control;
        this.scheduler = scheduler;
        this.fencingToken = fencingToken;
        this.log = log;
        this.listener = listener;
    }

    void close() {
        closed = true;
        early.clear();
    }

    /** Passes on the reports that have come meanwhile, and all later ones at once. */
    void open() {
        open = true;
        List<Runnable> waiting = List.copyOf(early);
        early.clear();
        waiting.forEach(Runnable::run);
    }

    /** Begins to poll workers that are not polled yet. */
    void pollNew() {
        for (String id : scheduler.workerIds()) {
            if (polled.add(id)) {
                poll(id);
            }
        }
    }

    private void poll(String id) {
        WorkerEntry worker = scheduler.worker(id).orElse(null);
        if (closed || worker == null) {
            polled.remove(id);
            return;
        }
        long sentAtMs = clock.nowMs();
        HoldOrder order = scheduler.holdOrder(id, sentAtMs, fencingToken);
        control.hold(worker, order).onSuccess(result -> {
            long receivedAtMs = clock.nowMs();
            if (closed) {
                return;
            }
            if (open) {
                onHold(worker, sentAtMs, receivedAtMs, result);
            } else {
                early.add(() -> onHold(worker, sentAtMs, receivedAtMs, result));
            }
        });
    }

    private void onHold(WorkerEntry worker, long sentAtMs, long receivedAtMs, Either<Failure, HoldReply> result) {
        String id = worker.id();
        if (closed) {
            return;
        }
        listener.beforeReport();
        if (result.isRight() && result.get().answer() == Answer.ACCEPTED) {
            scheduler.onHoldReply(id, sentAtMs, result.get().report(), receivedAtMs, clock.wallMs());
            listener.onReport();
            if (scheduler.awaitsDurability(id)) {
                pollLater(id, PoolTiming.ACK_RETRY_MS);
            } else {
                poll(id);
            }
            return;
        }
        if (result.isRight() && result.get().answer() == Answer.FENCED) {
            listener.onDeposed("worker " + id + " has seen a higher fencing token");
            return;
        }
        scheduler.onHoldFailed(id, sentAtMs);
        if (result.isRight() && result.get().answer() == Answer.OTHER_BOOT) {
            scheduler.onWorkerReplaced(worker, clock.nowMs(), clock.wallMs());
            listener.onReport();
        }
        pollLater(id, PoolTiming.HOLD_RETRY_MS);
    }

    private void pollLater(String id, long delayMs) {
        vertx.setTimer(delayMs, ignored -> poll(id));
    }

    void start(WorkerEntry worker, StartOrder order) {
        StartOrder fenced = new StartOrder(
                order.run(),
                order.payload(),
                order.leaseEndWorkerMs(),
                fencingToken,
                order.checkpoint(),
                order.ticket());
        Logger.debug("event=run-ordered run={} worker={}", order.run(), worker.id());
        control.start(worker, fenced).onSuccess(result -> {
            Answer answer = answerOf(result, Answer.UNHEALTHY);
            if (answer != Answer.ACCEPTED && log.allows("run-not-started")) {
                Logger.info(
                        "event=run-not-started run={} worker={} token={} outcome={} error=\"{}\"",
                        order.run(),
                        worker.id(),
                        fencingToken,
                        answer == null ? "unknown" : answer,
                        result.isLeft() ? result.getLeft().message() : "");
            }
            if (!closed) {
                onStartAnswer(worker.id(), order.run(), answer);
            }
        });
    }

    private void onStartAnswer(String worker, Run run, @Nullable Answer answer) {
        if (answer == Answer.FENCED) {
            listener.onDeposed("worker " + worker + " has seen a higher fencing token");
            return;
        }
        scheduler.onStartReply(worker, run, answer, clock.nowMs());
        if (answer != Answer.ACCEPTED) {
            listener.onReport();
        }
    }

    void stop(WorkerEntry worker, Run run, String reason) {
        if (log.allows("run-stop")) {
            Logger.info("event=run-stop run={} worker={} reason=\"{}\"", run, worker.id(), reason);
        }
        control.stop(worker, run, fencingToken).onSuccess(result -> {
            if (!closed) {
                Answer answer = answerOf(result, null);
                if (answer == Answer.FENCED) {
                    listener.onDeposed("worker " + worker.id() + " has seen a higher fencing token");
                } else {
                    scheduler.onStopReply(worker.id(), run, answer, clock.nowMs());
                }
            }
        });
    }

    void pace(WorkerEntry worker, Run run, int percent) {
        Logger.info("event=run-pace run={} worker={} percent={}", run, worker.id(), percent);
        control.pace(worker, run, percent, fencingToken).onSuccess(result -> {
            if (result.isLeft()) {
                Logger.warn(
                        "event=run-pace-failed run={} error=\"{}\"",
                        run,
                        result.getLeft().message());
            }
        });
    }

    /** The answer; {@code notSent} for a call that surely had no effect, null if that is not known. */
    private static @Nullable Answer answerOf(Either<Failure, Reply> result, @Nullable Answer notSent) {
        if (result.isRight()) {
            return result.get().answer();
        }
        return result.getLeft().notRun() ? notSent : null;
    }
}
