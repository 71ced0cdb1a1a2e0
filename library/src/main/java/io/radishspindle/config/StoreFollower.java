package io.radishspindle.config;

import io.radishspindle.config.ConfigAction.Read;
import io.radishspindle.config.ConfigAction.Watch;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Follows the document in the store: one read, then a watch that is renewed for ever. Deterministic; not thread-safe.
 *
 * <p>A dead watch and a quiet one look the same. Therefore a watch that has been quiet for {@link #QUIET_MS} is
 * checked by a second watch that waits no time: it costs one call and, unlike a read, carries the document only if
 * it changed. The watch is replaced if the check finds what the watch should have reported, or gets no answer. Both
 * times together are below 5 s, because a change has to be in force everywhere within 5 s also when a watch is
 * dead. A rare read finds a store whose watches answer, but miss changes.
 */
final class StoreFollower {
    static final long QUIET_MS = 3_000;
    private static final long CHECK_TIMEOUT_MS = 1_000;
    private static final long CHECK_WAIT_MS = 1;
    private static final long READ_EVERY_MS = 60_000;
    private static final long WATCH_WAIT_MS = 30_000;
    private static final long READ_TIMEOUT_MS = 5_000;
    private static final long FIRST_BACK_OFF_MS = 250;
    private static final long MAX_BACK_OFF_MS = 2_000;
    private static final long NONE = 0;

    private final LongSupplier ids;
    private final boolean checksQuietWatch;
    private long readId = NONE;
    private long readSentAtMs;
    private long watchId = NONE;
    private long watchSentAtMs;
    private long checkId = NONE;
    private long checkSentAtMs;
    private long lastReadAtMs;
    private long lastContactAtMs;
    private long nextReadAtMs;
    private long backOffMs = FIRST_BACK_OFF_MS;
    private long storeRevision;
    private int deadWatches;

    StoreFollower(long nowMs, LongSupplier ids, boolean checksQuietWatch) {
        this.ids = ids;
        this.checksQuietWatch = checksQuietWatch;
        nextReadAtMs = nowMs;
    }

    int deadWatches() {
        return deadWatches;
    }

    /** Forgets calls in flight; their late answers are still taken, but start nothing. */
    void stop(long nowMs) {
        readId = NONE;
        watchId = NONE;
        checkId = NONE;
        nextReadAtMs = nowMs;
    }

    void onTick(long nowMs, boolean watches, List<ConfigAction> actions) {
        if (!watches) {
            watchId = NONE;
            checkId = NONE;
        }
        expire(nowMs);
        if (watchId == NONE) {
            readWhenDue(nowMs, actions);
        } else if (checksQuietWatch && nowMs - lastContactAtMs >= QUIET_MS) {
            check(nowMs, actions);
        }
    }

    /** Gives up calls that were not answered in time. */
    private void expire(long nowMs) {
        if (readId != NONE && nowMs - readSentAtMs >= READ_TIMEOUT_MS) {
            readId = NONE;
        }
        boolean checkUnanswered = checkId != NONE && nowMs - checkSentAtMs >= CHECK_TIMEOUT_MS;
        boolean watchUnanswered = watchId != NONE && nowMs - watchSentAtMs >= WATCH_WAIT_MS + READ_TIMEOUT_MS;
        if (checkUnanswered || watchUnanswered) {
            dropWatch();
        }
    }

    private void dropWatch() {
        watchId = NONE;
        checkId = NONE;
        deadWatches++;
    }

    private void check(long nowMs, List<ConfigAction> actions) {
        if (nowMs - lastReadAtMs >= READ_EVERY_MS) {
            readWhenDue(nowMs, actions);
        } else if (checkId == NONE) {
            checkId = ids.getAsLong();
            checkSentAtMs = nowMs;
            actions.add(new Watch(checkId, ConfigCore.KEY, storeRevision, CHECK_WAIT_MS));
        }
    }

    private void readWhenDue(long nowMs, List<ConfigAction> actions) {
        if (readId == NONE && nowMs >= nextReadAtMs) {
            readId = ids.getAsLong();
            readSentAtMs = nowMs;
            lastReadAtMs = nowMs;
            actions.add(new Read(readId, ConfigCore.KEY));
        }
    }

    private void watch(long nowMs, List<ConfigAction> actions) {
        watchId = ids.getAsLong();
        watchSentAtMs = nowMs;
        actions.add(new Watch(watchId, ConfigCore.KEY, storeRevision, WATCH_WAIT_MS));
    }

    /** The document that was read, if the read succeeded. */
    Optional<Versioned> onRead(
            long nowMs,
            long id,
            Either<Failure, Store.Entry> answer,
            boolean watches,
            long knownRevision,
            List<ConfigAction> actions) {
        boolean current = id == readId;
        if (current) {
            readId = NONE;
        }
        if (answer.isLeft()) {
            if (current) {
                backOff(nowMs);
            }
            return Optional.empty();
        }
        Optional<Versioned> read = Versioned.of(answer.get());
        if (current) {
            contact(nowMs);
            storeRevision = Math.max(storeRevision, answer.get().revision());
            if (watchId != NONE && read.isPresent() && read.get().revision() > knownRevision) {
                dropWatch();
            }
            if (watchId == NONE && watches) {
                watch(nowMs, actions);
            }
        }
        return read;
    }

    /** The document that the watch or its check reported, if any. */
    Optional<Versioned> onWatch(
            long nowMs, long id, Either<Failure, Store.Changes> answer, List<ConfigAction> actions) {
        boolean isWatch = id == watchId;
        boolean isCheck = id == checkId;
        if (answer.isLeft()) {
            if (isWatch || isCheck) {
                watchId = NONE;
                checkId = NONE;
                backOff(nowMs);
            }
            return Optional.empty();
        }
        Store.Changes changes = answer.get();
        if (isWatch || isCheck) {
            contact(nowMs);
            storeRevision = Math.max(storeRevision, changes.revision());
        }
        if (isCheck) {
            checkId = NONE;
            if (!changes.entries().isEmpty()) {
                dropWatch();
            }
        }
        if (isWatch || (isCheck && watchId == NONE)) {
            watch(nowMs, actions);
        }
        return changes.entries().stream()
                .filter(entry -> entry.key().equals(ConfigCore.KEY))
                .reduce((first, second) -> second)
                .flatMap(Versioned::of);
    }

    private void contact(long nowMs) {
        lastContactAtMs = nowMs;
        nextReadAtMs = nowMs;
        backOffMs = FIRST_BACK_OFF_MS;
    }

    private void backOff(long nowMs) {
        nextReadAtMs = nowMs + backOffMs;
        backOffMs = Math.min(2 * backOffMs, MAX_BACK_OFF_MS);
    }
}
