package io.radishspindle.pool.core;

import io.radishspindle.pool.port.WorkerControl.Answer;
import java.util.function.LongConsumer;

/** Sends the holds of a simulated owner to workers behind a congested link. Not thread-safe. */
final class CongestedHolds {
    private final PoolSimulation pool;

    CongestedHolds(PoolSimulation pool) {
        this.pool = pool;
    }

    /**
     * The hold fails when its answer is overdue; the answer is applied nevertheless when it arrives.
     *
     * @param pollAfter sends the next hold after a delay in milliseconds
     */
    void send(SimWorker worker, SentHold hold, PoolScheduler owner, LongConsumer pollAfter) {
        String id = worker.entry.id();
        long bootWallMs = worker.bootWallMs;
        boolean[] resolved = {false};
        worker.onCrash = () -> {};
        pool.after(hold.dueMs() - pool.nowMs, () -> {
            if (!resolved[0] && owner == pool.scheduler) {
                resolved[0] = true;
                owner.onHoldFailed(id, hold.sentAtMs(), pool.nowMs, false);
                pollAfter.accept(PoolTiming.HOLD_RETRY_MS);
            }
        });
        pool.after(pool.latency() + worker.congestion(pool.random()), () -> {
            boolean lost = worker.isDown || worker.unreachable || worker.bootWallMs != bootWallMs;
            if (lost || worker.hold(hold.order(), pool.nowMs) != Answer.ACCEPTED) {
                return;
            }
            var report = worker.report(pool.nowMs);
            pool.after(pool.latency() + worker.congestion(pool.random()), () -> {
                if (owner != pool.scheduler || pool.nowMs > hold.relevantUntilMs()) {
                    return;
                }
                owner.onHoldReply(id, hold, report, pool.nowMs, pool.nowMs);
                pool.lateAnswers += resolved[0] ? 1 : 0;
                if (!resolved[0]) {
                    resolved[0] = true;
                    long pauseMs = owner.awaitsDurability(id) ? PoolTiming.ACK_RETRY_MS : 1;
                    pollAfter.accept(pauseMs);
                }
            });
        });
    }
}
