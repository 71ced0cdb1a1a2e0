package io.radishspindle.entry.job;

import io.radishspindle.platform.Clock;
import io.vertx.core.Future;

/** A clock that passes a second with each pause. */
final class VirtualClock implements Clock {
    private long nowMs;
    private Runnable onPass = () -> {};

    /** Sets what happens during each pause. */
    void onPass(Runnable event) {
        onPass = event;
    }

    Future<Void> pass() {
        nowMs += 1_000;
        onPass.run();
        return Future.succeededFuture();
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return nowMs;
    }
}
