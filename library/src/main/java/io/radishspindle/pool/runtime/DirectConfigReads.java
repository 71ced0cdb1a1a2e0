package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Reads the configuration from the store. Confined to one event loop.
 *
 * <p>Invariants: a version that this VM has is not transferred again, except after the store has lost its history; and
 * the time of the knowledge is reckoned from the sending of a call, or from the end of a full wait.
 */
final class DirectConfigReads {
    /** Wait of a watch, in milliseconds; twice a slow store's delay of 400 ms still leaves it below the age limit. */
    private static final long WATCH_WAIT_MS = 800;
    /** Wait of a reader's watch, in milliseconds; the knowledge of the whole region is as old as the reader's. */
    private static final long READER_WAIT_MS = 500;
    /**
     * Wait of the watch after a change, in milliseconds. When the store replied to the former one isn't known, so its
     * sending counts, up to a full wait earlier.
     */
    private static final long CONFIRM_WAIT_MS = 300;

    private final Clock clock;
    private final SharedStore store;
    private final ConfigKnowledge knowledge;
    private final ConfigReadPacer pacer;
    /** Revision from which to watch; 0 if the store has to be asked for the newest version first. */
    private long watchFrom;

    private boolean historyLost;
    private boolean conditionalReadsRejected;
    private boolean changed;

    DirectConfigReads(Clock clock, SharedStore store, ConfigKnowledge knowledge, ConfigReadPacer pacer) {
        this.clock = clock;
        this.store = store;
        this.knowledge = knowledge;
        this.pacer = pacer;
    }

    /** The configuration was read in another way since, so that the revision of the last watch may be outdated. */
    void onReadElsewhere() {
        watchFrom = 0;
    }

    /** Reads the newest version, without waiting for one. */
    Future<Either<Failure, Listing>> refresh(String key) {
        long known = knowledge.revision();
        return known == 0 || historyLost || conditionalReadsRejected ? list(key) : readUnlessUnchanged(key, known);
    }

    /**
     * A transaction without writes: the store replies with the item only if its revision isn't the expected one. A
     * watch would transfer all versions since, a listing one that this VM has.
     */
    private Future<Either<Failure, Listing>> readUnlessUnchanged(String key, long known) {
        long sentAtMs = clock.nowMs();
        return store.transact(new Txn(Map.of(key, known), List.of(), List.of())).compose(result -> {
            if (result.isLeft()) {
                if (!isOutage(result.getLeft().code())) {
                    conditionalReadsRejected = true;
                    Logger.warn(
                            "event=config-conditional-read-rejected key={} error=\"{}\"",
                            key,
                            result.getLeft().message());
                    return list(key);
                }
                return Future.succeededFuture(onFailure(result.getLeft()));
            }
            if (result.get().applied()) {
                // The key was unchanged at the revision before that of the transaction, if not at that as well.
                return Future.succeededFuture(
                        onRead(key, List.of(), Math.max(known, result.get().revision() - 1), sentAtMs, sentAtMs));
            }
            List<Item> current = result.get().current();
            long revision = current.stream().mapToLong(Item::revision).max().orElse(known);
            return Future.succeededFuture(onRead(key, current, revision, sentAtMs, sentAtMs));
        });
    }

    private static boolean isOutage(ErrorCode code) {
        return code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.OUTCOME_UNKNOWN;
    }

    private Future<Either<Failure, Listing>> list(String key) {
        long sentAtMs = clock.nowMs();
        return store.list(key).map(result -> {
            if (result.isLeft()) {
                return onFailure(result.getLeft());
            }
            historyLost = false;
            return onRead(key, result.get().items(), result.get().revision(), sentAtMs, sentAtMs);
        });
    }

    /** Waits for a newer version, or reads the newest one if the revision from which to watch isn't known. */
    Future<Either<Failure, Listing>> watch(String key, boolean isReader) {
        if (watchFrom == 0) {
            return refresh(key);
        }
        long waitMs = changed ? CONFIRM_WAIT_MS : isReader ? READER_WAIT_MS : WATCH_WAIT_MS;
        long sentAtMs = clock.nowMs();
        return store.watch(key, watchFrom, waitMs).map(result -> {
            if (result.isLeft()) {
                historyLost |= result.getLeft().code() == ErrorCode.CONFLICT;
                return onFailure(result.getLeft());
            }
            List<Item> events = result.get().items();
            boolean fullWait = events.isEmpty() && clock.nowMs() - sentAtMs >= waitMs;
            long revision = Math.max(watchFrom, result.get().revision());
            return onRead(key, events, revision, sentAtMs, fullWait ? sentAtMs + waitMs : sentAtMs);
        });
    }

    private Either<Failure, Listing> onFailure(Failure failure) {
        watchFrom = 0;
        pacer.onFailure();
        return Either.left(failure);
    }

    private Either<Failure, Listing> onRead(String key, List<Item> items, long revision, long sentAtMs, long asOfMs) {
        watchFrom = revision;
        long bytes = 0;
        changed = false;
        Item newest = null;
        for (Item item : items) {
            byte[] value = item.value();
            if (value != null && item.key().equals(key)) {
                bytes += value.length;
                newest = newest == null || item.revision() > newest.revision() ? item : newest;
            }
        }
        long elapsedMs = clock.nowMs() - sentAtMs;
        pacer.onSuccess(elapsedMs, bytes);
        if (newest == null) {
            knowledge.onUnchanged(asOfMs);
            return Either.right(new Listing(List.of(), revision));
        }
        changed = knowledge.onRead(newest, asOfMs);
        if (changed) {
            Logger.info(
                    "event=config-read path=store revision={} bytes={} versions={} elapsed_ms={}",
                    newest.revision(),
                    bytes,
                    items.size(),
                    elapsedMs);
        }
        return Either.right(new Listing(changed ? List.of(newest) : List.of(), revision));
    }
}
