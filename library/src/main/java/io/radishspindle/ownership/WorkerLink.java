package io.radishspindle.ownership;

import io.radishspindle.error.Failure;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient;
import io.radishspindle.platform.WorkerClient.ControlReply;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Mode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * An owner's view of one worker. Not thread-safe.
 *
 * <p>Invariants: at most one message is under way, so a lost answer is followed by a claim that tells which of the
 * unconfirmed starts took effect; starts are sent only to a worker that has answered a claim of this epoch and every
 * message since; a message with starts is never repeated.
 *
 * <p>A worker that restarted has forgotten which epoch it has seen. Claiming it would undo the fence of a later
 * owner. Therefore a worker that answers with a lower epoch is claimed only shortly after the store has confirmed
 * the epoch, and a claim after a lost answer is preceded by a message that a restarted worker refuses.
 */
final class WorkerLink {
    /** What the next message must be. */
    enum State {
        /** Has not seen this epoch, or forgot it; needs a confirmed claim. */
        UNCLAIMED,
        /** An answer was lost; needs a message that carries no commands. */
        PROBE,
        /** Answered the probe; needs a claim. */
        RECLAIM,
        /** Takes commands. */
        READY
    }

    /** Told what a worker answered. */
    interface Listener {
        /** All that runs on the worker is known; {@code neverStarted} lists starts that had and will have no effect. */
        void claimed(WorkerLink link, ControlReply reply, Set<TaskAttempt> neverStarted);

        void reported(WorkerLink link, ControlReply reply);

        /** The worker has seen a higher epoch, or a caretaker of this one. */
        void superseded(WorkerLink link, ControlReply reply);
    }

    private static final long FIRST_CLAIM_TIMEOUT_MS = 200;
    private static final int MAX_DOUBLINGS = 8;

    /** Pause after the first lost answer; doubled up to a heartbeat, so that a dead worker costs little. */
    private static final long RETRY_MS = 50;

    final WorkerInfo worker;
    private final Effects fx;
    private final OwnershipTiming timing;
    private final long epoch;
    private final Listener listener;
    private final List<WorkerClient.Start> starts = new ArrayList<>();
    private final List<WorkerClient.Order> orders = new ArrayList<>();
    private final List<WorkerClient.Order> unconfirmedOrders = new ArrayList<>();
    private final Set<TaskAttempt> acknowledged = new LinkedHashSet<>();
    private final Set<TaskAttempt> unconfirmed = new LinkedHashSet<>();
    private State state = State.UNCLAIMED;
    private boolean inFlight;
    private boolean closed;
    private long nextSendAtMs = Quorum.NEVER;
    private long answeredSentAtMs = Quorum.NEVER;
    private long claimedAtMs = Quorum.NEVER;
    private long echoReceivedAtMs = Quorum.NEVER;
    private long probedSentAtMs = Quorum.NEVER;
    private long echo;
    /** Messages since the last accepted one. */
    private int failures;

    WorkerLink(Effects fx, OwnershipTiming timing, long epoch, WorkerInfo worker, Listener listener) {
        this.fx = fx;
        this.timing = timing;
        this.epoch = epoch;
        this.worker = worker;
        this.listener = listener;
    }

    boolean isReady() {
        return state == State.READY;
    }

    /** When the last answered message was sent; the worker's vote for this epoch is counted from then. */
    long answeredSentAtMs() {
        return answeredSentAtMs;
    }

    /** When the worker first answered a claim of this epoch. */
    long claimedAtMs() {
        return claimedAtMs;
    }

    boolean isUnreachable() {
        return fx.now() - answeredSentAtMs > timing.controlLeaseMs();
    }

    /** Whether all leases that this owner granted have lapsed for certain. */
    boolean isLost() {
        return fx.now() - echoReceivedAtMs > timing.lostAfterMs();
    }

    void start(WorkerClient.Start start) {
        starts.add(start);
        nextSendAtMs = Quorum.NEVER;
    }

    void order(WorkerClient.Order order) {
        orders.add(order);
        nextSendAtMs = Quorum.NEVER;
    }

    void acknowledge(TaskAttempt attempt) {
        acknowledged.add(attempt);
    }

    /** Whether the worker will be told with the next message that it may forget the attempt. */
    boolean isAcknowledging(TaskAttempt attempt) {
        return acknowledged.contains(attempt);
    }

    void close() {
        closed = true;
    }

    /**
     * Sends the next message if one is due.
     *
     * @param authorityUntilMs until when the sender may send renewals and starts; {@link Quorum#NEVER} if it may not
     * @param confirmedUntilMs until when a worker of unknown epoch may be claimed
     */
    void tick(long authorityUntilMs, long confirmedUntilMs) {
        if (inFlight || closed || fx.now() < nextSendAtMs) {
            return;
        }
        boolean authority = fx.now() <= authorityUntilMs;
        switch (state) {
            case UNCLAIMED -> {
                if (fx.now() <= confirmedUntilMs) {
                    send(Mode.CLAIM, confirmedUntilMs);
                }
            }
            case RECLAIM -> reclaim();
            case PROBE -> {
                if (authority) {
                    send(Mode.CONTROL, authorityUntilMs);
                }
            }
            case READY -> {
                if (authority) {
                    send(Mode.CONTROL, authorityUntilMs);
                }
            }
        }
    }

    /** Whether the worker waits for the store to confirm the epoch. */
    boolean needsConfirmation() {
        return state == State.UNCLAIMED && !inFlight && fx.now() >= nextSendAtMs;
    }

    private void reclaim() {
        long until = probedSentAtMs + timing.heartbeatMs();
        if (fx.now() > until) {
            state = State.PROBE;
        } else {
            send(Mode.CLAIM, until);
        }
    }

    private void send(Mode mode, long notAfterMs) {
        boolean commands = state == State.READY;
        List<WorkerClient.Start> sentStarts = commands ? List.copyOf(starts) : List.of();
        List<WorkerClient.Order> sentOrders = commands ? List.copyOf(orders) : List.of();
        List<TaskAttempt> sentAcks = mode == Mode.CONTROL ? List.copyOf(acknowledged) : List.of();
        if (commands) {
            sentStarts.forEach(start -> unconfirmed.add(start.attempt()));
            unconfirmedOrders.addAll(sentOrders);
            starts.clear();
            orders.clear();
        }
        ControlRequest request = new ControlRequest(
                mode,
                epoch,
                0,
                fx.self(),
                fx.nextSequence(),
                mode == Mode.CLAIM ? 0 : echo,
                timing.controlLeaseMs(),
                timing.runLeaseMs(),
                sentStarts,
                sentOrders,
                sentAcks);
        inFlight = true;
        nextSendAtMs = fx.now() + timing.heartbeatMs();
        fx.control(worker, request, notAfterMs, timeoutMs(mode), (sentAt, result) -> {
            if (!closed) {
                answered(request, sentAt, result);
            }
        });
    }

    /** A takeover waits for the slowest claim, so the first claims are given up early when a message was lost. */
    private long timeoutMs(Mode mode) {
        if (mode != Mode.CLAIM) {
            return timing.heartbeatMs();
        }
        long timeout = Math.min(timing.heartbeatMs(), FIRST_CLAIM_TIMEOUT_MS << Math.min(failures, MAX_DOUBLINGS));
        return timeout;
    }

    private void answered(ControlRequest request, long sentAtMs, Either<Failure, ControlReply> result) {
        inFlight = false;
        if (result.isLeft()) {
            lostAnswer();
            return;
        }
        ControlReply reply = result.get();
        if (!reply.accepted()) {
            refused(reply);
            return;
        }
        failures = 0;
        answeredSentAtMs = Math.max(answeredSentAtMs, sentAtMs);
        echoReceivedAtMs = fx.now();
        echo = reply.workerTimeMs();
        if (request.mode() == Mode.CLAIM) {
            claimAnswered(reply);
        } else if (state == State.PROBE) {
            probedSentAtMs = sentAtMs;
            state = State.RECLAIM;
            nextSendAtMs = Quorum.NEVER;
        } else {
            request.starts().forEach(start -> unconfirmed.remove(start.attempt()));
            unconfirmedOrders.clear();
            request.acknowledged().forEach(acknowledged::remove);
            listener.reported(this, reply);
        }
    }

    private void lostAnswer() {
        state = state == State.UNCLAIMED ? State.UNCLAIMED : State.PROBE;
        long pause = Math.min(timing.heartbeatMs(), RETRY_MS << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        nextSendAtMs = Math.min(nextSendAtMs, fx.now() + pause);
    }

    private void refused(ControlReply reply) {
        nextSendAtMs = fx.now() + OwnershipTiming.RETRY_MS;
        if (reply.epoch() > epoch || (reply.epoch() == epoch && reply.term() > 0)) {
            state = state == State.UNCLAIMED ? State.UNCLAIMED : State.PROBE;
            listener.superseded(this, reply);
        } else if (reply.epoch() < epoch) {
            state = State.UNCLAIMED;
        } else {
            lostAnswer();
        }
    }

    private void claimAnswered(ControlReply reply) {
        state = State.READY;
        nextSendAtMs = Quorum.NEVER;
        if (claimedAtMs == Quorum.NEVER) {
            claimedAtMs = fx.now();
        }
        Set<TaskAttempt> neverStarted = new LinkedHashSet<>(unconfirmed);
        starts.forEach(start -> neverStarted.add(start.attempt()));
        reply.running().forEach(running -> neverStarted.remove(running.attempt()));
        reply.finished().forEach(finished -> neverStarted.remove(finished.attempt()));
        starts.clear();
        unconfirmed.clear();
        orders.addAll(0, unconfirmedOrders);
        unconfirmedOrders.clear();
        listener.claimed(this, reply, neverStarted);
    }
}
