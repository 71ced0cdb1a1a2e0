package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.PrefixReader;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Follows the keys under a prefix: one listing, then watches; a new listing whenever history is missing. Belongs to
 * one event loop.
 */
final class PrefixWatch {
    /**
     * How long one watch waits, in milliseconds. Short, because a connection that has gone silent is only noticed at
     * its end, and a change has to be in force within 2.5 s.
     */
    private static final long WATCH_WAIT_MS = 1_500;

    private static final long RETRY_MS = 200;
    /** Watches in a row that may find nothing before the prefix is listed again, against a watch that hears nothing. */
    private static final int MAX_EMPTY_WATCHES = 8;

    /** Receives what the watch sees. */
    interface Listener {
        /** Everything under the prefix; what is absent no longer exists. */
        void onListed(List<Item> items);

        void onChanged(Item item);
    }

    private final Vertx vertx;
    private final Clock clock;
    private final PrefixReader store;
    private final String prefix;
    private final long pauseMs;
    private final Listener listener;
    private final Consumer<Boolean> onResult;
    private long revision;
    private boolean listed;
    private boolean closed;
    private boolean failing;
    private int emptyWatches;
    private long lastSuccessMs = Long.MIN_VALUE;

    /**
     * @param pauseMs pause between watches in milliseconds, so that several changes arrive with one call
     * @param onResult told after each call whether the store has answered
     */
    PrefixWatch(
            Vertx vertx,
            Clock clock,
            PrefixReader store,
            String prefix,
            long pauseMs,
            Listener listener,
            Consumer<Boolean> onResult) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.prefix = prefix;
        this.pauseMs = pauseMs;
        this.listener = listener;
        this.onResult = onResult;
    }

    void start() {
        list();
    }

    /** Begins after a listing that the caller has made itself. */
    void startAfter(long listedRevision) {
        revision = listedRevision;
        listed = true;
        watch();
    }

    void close() {
        closed = true;
    }

    /** Time of the last answer of the store, on the steady clock. */
    long lastSuccessMs() {
        return lastSuccessMs;
    }

    boolean isListed() {
        return listed;
    }

    private void list() {
        if (!closed) {
            store.list(prefix).onSuccess(this::onListed);
        }
    }

    private void onListed(Either<Failure, Listing> result) {
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            onFailure(result.getLeft(), this::list);
            return;
        }
        onSuccess();
        revision = result.get().revision();
        listed = true;
        emptyWatches = 0;
        listener.onListed(result.get().items());
        watch();
    }

    private void watch() {
        if (!closed) {
            store.watch(prefix, revision, WATCH_WAIT_MS).onSuccess(this::onWatched);
        }
    }

    private void onWatched(Either<Failure, Listing> result) {
        if (closed) {
            return;
        }
        if (result.isLeft()) {
            Failure failure = result.getLeft();
            if (failure.code() == ErrorCode.CONFLICT) {
                Logger.info("event=watch-history-lost prefix={} revision={}", prefix, revision);
                list();
            } else {
                // Changes may have been missed while the store was away; only a listing tells what has gone.
                onFailure(failure, this::list);
            }
            return;
        }
        onSuccess();
        Listing changes = result.get();
        changes.items().forEach(listener::onChanged);
        revision = Math.max(revision, changes.revision());
        emptyWatches = changes.items().isEmpty() ? emptyWatches + 1 : 0;
        if (emptyWatches >= MAX_EMPTY_WATCHES) {
            list();
        } else if (pauseMs > 0 && !changes.items().isEmpty()) {
            vertx.setTimer(pauseMs, ignored -> watch());
        } else {
            watch();
        }
    }

    private void onSuccess() {
        lastSuccessMs = clock.nowMs();
        if (failing) {
            failing = false;
            Logger.info("event=dependency-regained dependency=store prefix={}", prefix);
        }
        onResult.accept(true);
    }

    private void onFailure(Failure failure, Runnable retry) {
        if (!failing) {
            failing = true;
            Logger.warn(
                    "event=dependency-lost dependency=store prefix={} step={} error=\"{}\"",
                    prefix,
                    failure.step(),
                    failure.message());
        }
        onResult.accept(false);
        vertx.setTimer(RETRY_MS, ignored -> retry.run());
    }
}
