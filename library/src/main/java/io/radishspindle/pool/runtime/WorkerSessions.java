package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.PoolTiming;
import io.radishspindle.pool.core.ReportOrder;
import io.radishspindle.pool.core.SentHold;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport.EndedRun;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldReply;
import io.radishspindle.pool.port.WorkerControl.Reply;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Communication of an owner with the workers of its pool: one hold call per worker at a time, which renews the leases
 * and returns ended runs, and orders in parallel to it. Confined to one event loop.
 *
 * <p>Invariant: reports are delivered to the scheduler only after {@link #startDelivery}, when the jobs of the pool are
 * loaded; otherwise the runs of stored jobs would be stopped as unknown.
 */
final class WorkerSessions {
    /** Receives the events of the sessions. */
    interface Listener {
        /** A report of a worker is about to be delivered. */
        void beforeReport();

        /** A change may allow new scheduling decisions. */
        void onReport();

        /** A hold was answered after its answer was due. */
        void onLateReply();

        /** A worker has seen a higher fencing token. */
        void onSuperseded(String reason);
    }

    private final Vertx vertx;
    private final FirstPolls firstPolls;
    /** First polls of workers and buffered reports; all of them at once would block the event loop after a claim. */
    private final PortionedTasks portions;

    private final Clock clock;
    private final WorkerControl control;
    private final HoldCalls holds;
    private final PoolScheduler scheduler;
    private final long fencingToken;
    private final BoundedLog log;
    private final Listener listener;
    /** Ids of the workers that are polled. */
    private final Set<String> polled = new HashSet<>();

    private final HoldRetries retries = new HoldRetries();
    /** Reports that were received before the jobs of the pool were loaded. */
    private final List<Runnable> buffered = new ArrayList<>();

    private boolean delivering;
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
        firstPolls = new FirstPolls(vertx, this::pollNow);
        portions = new PortionedTasks(vertx, clock);
        this.clock = clock;
        this.control = control;
        holds = new HoldCalls(vertx, control, new HoldListener());
        this.scheduler = scheduler;
        this.fencingToken = fencingToken;
        this.log = log;
        this.listener = listener;
    }

    void close() {
        closed = true;
        holds.close();
        portions.clear();
        firstPolls.clear();
        buffered.clear();
    }

    /**
     * Delivers the buffered reports in portions, and all later ones at once. No report overtakes another of its worker,
     * as a worker is polled again only after its report was delivered.
     */
    void startDelivery() {
        delivering = true;
        buffered.forEach(portions::add);
        buffered.clear();
    }

    /** Starts to poll the workers that are not polled yet. */
    void pollNew() {
        for (String id : scheduler.workerIds()) {
            if (polled.add(id)) {
                portions.add(() -> poll(id));
            }
        }
    }

    private void poll(String id) {
        if (scheduler.hasAnswered(id)) {
            pollNow(id);
        } else {
            firstPolls.add(id);
        }
    }

    private void pollNow(String id) {
        WorkerEntry worker = scheduler.worker(id).orElse(null);
        if (closed || worker == null) {
            polled.remove(id);
            retries.onAnswered(id);
            firstPolls.onAnswered(id);
            return;
        }
        holds.send(worker, scheduler.holdOrder(id, clock.nowMs(), fencingToken));
    }

    /** Receives the outcomes of holds. */
    private final class HoldListener implements HoldCalls.Listener {
        @Override
        public void onResult(WorkerEntry worker, SentHold hold, Either<Failure, HoldReply> result) {
            long receivedAtMs = clock.nowMs();
            if (delivering) {
                onHold(worker, hold, receivedAtMs, result);
            } else {
                buffered.add(() -> onHold(worker, hold, receivedAtMs, result));
            }
        }

        @Override
        public void onLateReply(WorkerEntry worker, SentHold hold, HoldReply reply) {
            long receivedAtMs = clock.nowMs();
            listener.onLateReply();
            // Behind the failure of the hold, which may wait in a portion.
            Runnable apply = () -> WorkerSessions.this.onLateReply(worker, hold, receivedAtMs, reply);
            if (delivering) {
                portions.add(apply);
            } else {
                buffered.add(apply);
            }
        }
    }

    private void onLateReply(WorkerEntry worker, SentHold hold, long receivedAtMs, HoldReply reply) {
        if (closed) {
            return;
        }
        if (reply.answer() == Answer.FENCED) {
            listener.onSuperseded("worker " + worker.id() + " has seen a higher fencing token");
            return;
        }
        if (reply.answer() != Answer.ACCEPTED) {
            logLate(worker, hold, receivedAtMs, reply, "rejected", 0);
            return;
        }
        listener.beforeReport();
        int givenUp = scheduler.countGivenUp(reply.report().ended());
        ReportOrder order = scheduler.onHoldReply(worker.id(), hold, reply.report(), receivedAtMs, clock.wallMs());
        logLate(worker, hold, receivedAtMs, reply, order.name().toLowerCase(Locale.ROOT), givenUp);
        listener.onReport();
    }

    /** @param givenUp how many of the ends in the reply are of runs that were given up */
    private void logLate(
            WorkerEntry worker, SentHold hold, long receivedAtMs, HoldReply reply, String outcome, int givenUp) {
        if (log.allows("hold-answered-late")) {
            List<EndedRun> ends = reply.report().ended();
            Logger.info(
                    "event=hold-answered-late worker={} address={}:{} token={} wait_ms={} late_ms={} answer={}"
                            + " running={} ends={} done={} given_up={} outcome={}",
                    worker.id(),
                    worker.host(),
                    worker.port(),
                    fencingToken,
                    hold.order().waitMs(),
                    receivedAtMs - hold.dueMs(),
                    reply.answer(),
                    reply.report().running().size(),
                    ends.size(),
                    ends.stream().filter(ended -> ended.end() == RunEnd.DONE).count(),
                    givenUp,
                    outcome);
        }
    }

    private void onHold(WorkerEntry worker, SentHold hold, long receivedAtMs, Either<Failure, HoldReply> result) {
        String id = worker.id();
        if (closed) {
            return;
        }
        listener.beforeReport();
        if (result.isRight() && result.get().answer() == Answer.ACCEPTED) {
            firstPolls.onAnswered(id);
            retries.onAnswered(id);
            scheduler.onHoldReply(id, hold, result.get().report(), receivedAtMs, clock.wallMs());
            listener.onReport();
            if (scheduler.awaitsDurability(id)) {
                pollLater(id, PoolTiming.ACK_RETRY_MS);
            } else {
                poll(id);
            }
            return;
        }
        if (result.isRight() && result.get().answer() == Answer.FENCED) {
            listener.onSuperseded("worker " + id + " has seen a higher fencing token");
            return;
        }
        boolean silent = result.isLeft() && result.getLeft().code() != ErrorCode.PEER_UNREACHABLE;
        scheduler.onHoldFailed(id, hold.sentAtMs(), receivedAtMs, !silent);
        if (result.isRight() && result.get().answer() == Answer.OTHER_BOOT) {
            scheduler.onWorkerReplaced(worker, clock.nowMs(), clock.wallMs());
            listener.onReport();
        }
        if (firstPolls.isInFlight(id)) {
            firstPolls.onFailed(id);
        } else {
            pollLater(id, retries.delayMs(id, silent, scheduler.leasesEndMs(id), clock.nowMs()));
        }
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
            listener.onSuperseded("worker " + worker + " has seen a higher fencing token");
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
                    listener.onSuperseded("worker " + worker.id() + " has seen a higher fencing token");
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

    /** The answer; {@code ifNotRun} if the call surely had no effect, null if its outcome is unknown. */
    private static @Nullable Answer answerOf(Either<Failure, Reply> result, @Nullable Answer ifNotRun) {
        if (result.isRight()) {
            return result.get().answer();
        }
        return result.getLeft().notRun() ? ifNotRun : null;
    }
}
