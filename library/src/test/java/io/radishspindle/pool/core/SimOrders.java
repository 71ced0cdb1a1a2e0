package io.radishspindle.pool.core;

import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Sends the orders of a simulated owner to its workers, with the faults of the simulation. Not thread-safe. */
final class SimOrders {
    private final PoolSimulation pool;

    SimOrders(PoolSimulation pool) {
        this.pool = pool;
    }

    /** Sends an order; {@code onAnswer} receives null if there is no answer. */
    void send(String id, Function<SimWorker, Answer> order, Consumer<@Nullable Answer> onAnswer) {
        SimWorker worker = pool.workers.get(id);
        if (worker == null || worker.isDown) {
            if (worker != null && pool.crashesSilently && !worker.isReplaced) {
                pool.after(PoolSimulation.SILENCE_TIMEOUT_MS, () -> onAnswer.accept(null));
                return;
            }
            // The connection is refused, or another worker has the address.
            pool.after(pool.latency(), () -> onAnswer.accept(Answer.UNHEALTHY));
            return;
        }
        if (worker.congestionMs > 0) {
            sendThroughCongestion(worker, order, onAnswer);
            return;
        }
        long bootWallMs = worker.bootWallMs;
        if (pool.random().nextDouble() < pool.lateOrderProbability) {
            // A delayed order is lost if the worker restarts.
            pool.after(2_000 + pool.random().nextLong(10_000), () -> {
                if (!worker.isDown && !worker.unreachable && worker.bootWallMs == bootWallMs) {
                    order.apply(worker);
                }
            });
            pool.after(900, () -> onAnswer.accept(null));
            return;
        }
        pool.after(pool.latency(), () -> {
            if (worker.isDown) {
                onAnswer.accept(null);
                return;
            }
            if (worker.unreachable) {
                pool.after(900, () -> onAnswer.accept(null));
                return;
            }
            Answer answer = order.apply(worker);
            boolean lost = pool.random().nextDouble() < pool.lostAnswerProbability;
            pool.after(lost ? 900 : pool.latency(), () -> onAnswer.accept(lost || worker.isDown ? null : answer));
        });
    }

    /** The order is executed when it arrives, also after the time within which its answer is awaited. */
    private void sendThroughCongestion(
            SimWorker worker, Function<SimWorker, Answer> order, Consumer<@Nullable Answer> onAnswer) {
        long bootWallMs = worker.bootWallMs;
        boolean[] resolved = {false};
        Consumer<@Nullable Answer> once = answer -> {
            if (!resolved[0]) {
                resolved[0] = true;
                onAnswer.accept(answer);
            }
        };
        pool.after(PoolSimulation.SILENCE_TIMEOUT_MS, () -> once.accept(null));
        pool.after(pool.latency() + worker.congestion(pool.random()), () -> {
            if (!worker.isDown && !worker.unreachable && worker.bootWallMs == bootWallMs) {
                Answer answer = order.apply(worker);
                pool.after(pool.latency() + worker.congestion(pool.random()), () -> once.accept(answer));
            }
        });
    }
}
