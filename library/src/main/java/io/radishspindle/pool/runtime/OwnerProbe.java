package io.radishspindle.pool.runtime;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.runtime.ControlView.Ownership;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.PoolPing;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import java.util.Optional;

/**
 * Pings the owner of one pool for a stand-by, and decides from the answers whether to supersede it. Confined to one
 * event loop.
 *
 * <p>Invariants: any answer ends the silence, however late it is, since the owner answers on the event loop that
 * schedules its pool; time in which this VM itself did not run hardly counts as silence.
 */
final class OwnerProbe {
    /** Interval of the pings, in milliseconds. */
    private static final long PING_INTERVAL_MS = 250;
    /** Timeout of a ping, in milliseconds: longer than any silence that is waited for. */
    private static final long PING_TIMEOUT_MS = 5_000;
    /** An owner that denies its ownership for this long is superseded; a new owner knows of its claim sooner. */
    private static final long DENIED_OWNER_TIMEOUT_MS = 200;
    /** Silence added by one check, in milliseconds, at most; a longer gap between checks is a pause of this VM. */
    private static final long MAX_CHECK_GAP_MS = 250;

    private final Clock clock;
    private final PeerMessenger messenger;
    private final String pool;
    private final Ownership ownership;
    private long nextPingMs = Long.MIN_VALUE;
    private long lastCheckMs;
    private boolean awaitsAnswer;
    private long silentMs;
    private long firstDenialMs = Long.MAX_VALUE;
    private boolean denied;

    OwnerProbe(Clock clock, PeerMessenger messenger, String pool, Ownership ownership) {
        this.clock = clock;
        this.messenger = messenger;
        this.pool = pool;
        this.ownership = ownership;
    }

    boolean isOf(Ownership other) {
        return ownership.equals(other);
    }

    /**
     * Sends a ping if one is due; called several times a second.
     *
     * @param maxSilenceMs silence after which the owner is superseded, in milliseconds
     * @return the reason for superseding the owner; empty while it may keep the pool
     */
    Optional<String> check(long maxSilenceMs) {
        long nowMs = clock.nowMs();
        if (awaitsAnswer) {
            silentMs += Math.min(nowMs - lastCheckMs, MAX_CHECK_GAP_MS);
        }
        lastCheckMs = nowMs;
        String vm = ownership.owner().vmId();
        if (denied) {
            return Optional.of("owner " + vm + " denies its ownership");
        }
        if (silentMs >= maxSilenceMs) {
            return Optional.of("owner " + vm + " has not answered for " + silentMs + " ms");
        }
        if (nowMs >= nextPingMs) {
            nextPingMs = nowMs + PING_INTERVAL_MS;
            awaitsAnswer = true;
            messenger
                    .request(vm, new PoolPing(pool), PoolPong.class, PING_TIMEOUT_MS)
                    .onSuccess(this::onPong);
        }
        return Optional.empty();
    }

    private void onPong(Either<Failure, PoolPong> reply) {
        if (reply.isLeft()) {
            return;
        }
        if (reply.get().owner()) {
            awaitsAnswer = false;
            silentMs = 0;
            firstDenialMs = Long.MAX_VALUE;
            denied = false;
            return;
        }
        firstDenialMs = Math.min(firstDenialMs, clock.nowMs());
        denied = clock.nowMs() - firstDenialMs >= DENIED_OWNER_TIMEOUT_MS;
    }
}
