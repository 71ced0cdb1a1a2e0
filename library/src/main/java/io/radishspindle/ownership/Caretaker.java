package io.radishspindle.ownership;

import io.radishspindle.error.Failure;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient.ControlReply;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Mode;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Keeps the tasks of a group running while its owner is gone and the store does not answer. Not thread-safe.
 *
 * <p>Invariants: it sends claims with the epoch of the record and a term above zero, and renewals of run leases; it
 * renews only while a majority of every worker set in force has answered its term within a control lease. Workers
 * that restarted refuse a term of an epoch that they don't know, so that they never count for the majority.
 */
final class Caretaker {
    private static final class Peer {
        final WorkerInfo worker;
        boolean inFlight;
        boolean granted;
        long nextSendAtMs = Quorum.NEVER;
        long answeredSentAtMs = Quorum.NEVER;
        long echo;

        Peer(WorkerInfo worker) {
            this.worker = worker;
        }
    }

    private final Effects fx;
    private final OwnershipTiming timing;
    private final OwnershipRecord record;
    private final Runnable superseded;
    private final Map<String, Peer> peers = new TreeMap<>();
    private long term;
    private boolean closed;

    /** @param superseded told when a worker has seen a later epoch */
    Caretaker(Effects fx, OwnershipTiming timing, OwnershipRecord record, Runnable superseded) {
        this.fx = fx;
        this.timing = timing;
        this.record = record;
        this.superseded = superseded;
        this.term = 1;
        record.workers().forEach(worker -> peers.put(worker.id(), new Peer(worker)));
        fx.metrics().caretakerTerm();
    }

    long epoch() {
        return record.epoch();
    }

    boolean mayRenew() {
        return fx.now() <= authorityUntilMs();
    }

    void close() {
        closed = true;
    }

    void tick() {
        if (closed) {
            return;
        }
        long authorityUntil = authorityUntilMs();
        for (Peer peer : peers.values()) {
            if (peer.inFlight || fx.now() < peer.nextSendAtMs) {
                continue;
            }
            if (!peer.granted) {
                send(peer, Mode.CLAIM, Long.MAX_VALUE);
            } else if (fx.now() <= authorityUntil) {
                send(peer, Mode.RENEW, authorityUntil);
            } else {
                send(peer, Mode.CLAIM, Long.MAX_VALUE);
            }
        }
    }

    private long authorityUntilMs() {
        if (!timing.caretakerNeedsMajority()) {
            return Long.MAX_VALUE;
        }
        List<Set<String>> quorums = record.quorums();
        long at = Quorum.majoritySince(quorums, id -> {
            Peer peer = peers.get(id);
            return peer == null ? Quorum.NEVER : peer.answeredSentAtMs;
        });
        return at == Quorum.NEVER ? Quorum.NEVER : at + timing.controlLeaseMs();
    }

    private void send(Peer peer, Mode mode, long notAfterMs) {
        ControlRequest request = new ControlRequest(
                mode,
                record.epoch(),
                term,
                fx.self(),
                fx.nextSequence(),
                mode == Mode.CLAIM ? 0 : peer.echo,
                timing.controlLeaseMs(),
                timing.runLeaseMs(),
                List.of(),
                List.of(),
                List.of());
        peer.inFlight = true;
        peer.nextSendAtMs = fx.now() + timing.heartbeatMs();
        fx.control(peer.worker, request, notAfterMs, timing.heartbeatMs(), (sentAt, result) -> {
            if (!closed) {
                answered(peer, request, sentAt, result);
            }
        });
    }

    private void answered(Peer peer, ControlRequest request, long sentAtMs, Either<Failure, ControlReply> result) {
        peer.inFlight = false;
        if (result.isLeft()) {
            return;
        }
        ControlReply reply = result.get();
        if (reply.accepted() && request.term() == term) {
            peer.answeredSentAtMs = Math.max(peer.answeredSentAtMs, sentAtMs);
            peer.echo = reply.workerTimeMs();
            if (!peer.granted) {
                peer.granted = true;
                peer.nextSendAtMs = Quorum.NEVER;
            }
        } else if (reply.epoch() > record.epoch()) {
            closed = true;
            superseded.run();
        } else if (reply.epoch() == record.epoch() && reply.term() >= term) {
            raiseTerm(reply.term() + 1);
        } else {
            peer.granted = false;
        }
    }

    /** Another caretaker has this term; votes for the old term no longer count. */
    private void raiseTerm(long next) {
        term = next;
        fx.metrics().caretakerTerm();
        for (Peer peer : peers.values()) {
            peer.granted = false;
            peer.answeredSentAtMs = Quorum.NEVER;
        }
    }
}
