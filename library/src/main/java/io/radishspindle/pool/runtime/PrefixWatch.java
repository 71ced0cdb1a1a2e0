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
 * Watches the keys under a prefix: lists them once, then watches for changes, and lists them again after a failure or
 * when the store no longer has the history. Confined to one event loop.
 *
 * <p>Invariant: the watch goes on whatever its items hold; one that its listener can't apply is logged and left out.
 */
final class PrefixWatch {
    /**
     * Wait of one watch, in milliseconds. Short, because an unresponsive connection is detected only at its end, and a
     * change must be applied within 2.5 s.
     */
    private static final long WATCH_WAIT_MS = 1_500;

    private static final long RETRY_MS = 200;
    /** Empty watches in a row before the prefix is listed again, in case the watch misses changes. */
    private static final int MAX_EMPTY_WATCHES = 8;

    /** Receives the listings and changes. */
    interface Listener {
        /** Receives all items under the prefix; a key that is absent no longer exists. */
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
     * @param pauseMs pause after a watch with changes, in milliseconds; batches several changes into one call
     * @param onResult called after each call with whether it succeeded
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

    /**
     * Starts watching after a listing that the caller has made itself.
     *
     * @param listedAtMs when the listing was requested, on the monotonic clock
     */
    void startAfter(long listedRevision, long listedAtMs) {
        revision = listedRevision;
        lastSuccessMs = listedAtMs;
        listed = true;
        watch();
    }

    void close() {
        closed = true;
    }

    /** Time of the last successful call, on the monotonic clock. */
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
        Listing listing = result.get();
        apply("the listing", () -> listener.onListed(listing.items()));
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
                // Changes may have been missed while the store was unavailable; only a listing shows removed keys.
                onFailure(failure, this::list);
            }
            return;
        }
        onSuccess();
        Listing changes = result.get();
        changes.items().forEach(item -> apply(item.key(), () -> listener.onChanged(item)));
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

    private void apply(String what, Runnable change) {
        try {
            change.run();
        } catch (RuntimeException e) {
            Logger.error(e, "event=change-not-applied prefix={} item=\"{}\"", prefix, what);
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
