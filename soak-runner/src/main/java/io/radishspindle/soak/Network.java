package io.radishspindle.soak;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Delays, loses and reorders messages, and cuts links in one direction or both. Not thread-safe.
 */
final class Network {
    private static final double LOSS = 0.002;
    private static final double STRAGGLER = 0.01;

    private record Link(String from, String to) {}

    private final Simulation sim;
    private final Set<Link> cut = new HashSet<>();
    private boolean slow;

    /** Handles a request; the answer may be given later, or never. */
    @FunctionalInterface
    interface Server<R> {
        void handle(Consumer<Either<Failure, R>> answer);
    }

    Network(Simulation sim) {
        this.sim = sim;
    }

    void cut(String from, String to) {
        cut.add(new Link(from, to));
    }

    void heal(String from, String to) {
        cut.remove(new Link(from, to));
    }

    /** Messages may take seconds while the network is slow. */
    void setSlow(boolean on) {
        slow = on;
    }

    void send(Node from, Node to, Runnable delivery) {
        long sender = from.incarnation();
        // A pause may strike after the sender has read its clock and before the message has left.
        sim.after(1, () -> from.run(sender, () -> leave(from, to, delivery)));
    }

    /** A request with an answer and a timeout; every outcome is reported once, to the incarnation that sent it. */
    <R> void call(Node from, Node to, long timeoutMs, Server<R> server, Consumer<Either<Failure, R>> done) {
        long sender = from.incarnation();
        boolean[] completed = new boolean[1];
        Consumer<Either<Failure, R>> once = result -> from.run(sender, () -> {
            if (!completed[0]) {
                completed[0] = true;
                done.accept(result);
            }
        });
        if (to.isAlive()) {
            send(from, to, () -> server.handle(result -> leave(to, from, () -> once.accept(result))));
        } else {
            Failure refused = Failure.retryable(ErrorCode.PEER_UNREACHABLE, "sim.call", to.id, "refused", 0);
            sim.after(2, () -> once.accept(Either.left(refused)));
        }
        Failure timeout = Failure.outcomeUnknown("sim.call", to.id, "no answer");
        sim.after(timeoutMs, () -> once.accept(Either.left(timeout)));
    }

    private void leave(Node from, Node to, Runnable delivery) {
        if (cut.contains(new Link(from.id, to.id)) || sim.chance(LOSS)) {
            return;
        }
        long receiver = to.incarnation();
        sim.after(delay(), () -> to.run(receiver, delivery));
    }

    private long delay() {
        if (slow && sim.chance(0.2)) {
            return sim.between(100, 12_000);
        }
        return sim.chance(STRAGGLER) ? sim.between(20, 400) : sim.between(1, 3);
    }
}
