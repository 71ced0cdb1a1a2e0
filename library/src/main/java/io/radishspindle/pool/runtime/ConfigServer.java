package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Answers the queries of other VMs for the configuration. Confined to one event loop.
 *
 * <p>Invariants: every reply tells the time of this VM's knowledge, relative to the arrival of the query, so that no
 * knowledge becomes younger on its way and VMs that ask each other can't confirm an old configuration. Earlier releases
 * count a reply as new, so they are answered by readers only, from their own recent reads.
 */
final class ConfigServer {
    /** A reply is sent at once if it makes the knowledge of the asking VM younger by this much, in milliseconds. */
    private static final long MIN_GAIN_MS = 600;
    /** Age limit of what an earlier release is told, in milliseconds; it counts the age from the reply. */
    static final long EARLIER_RELEASE_AGE_MS = 1_800;
    /** Largest value that fits a message, in bytes. */
    private static final int MAX_VALUE_BYTES = 900 * 1024;

    private static final long RETRY_AFTER_MS = 500;

    /** A query that waits for a newer configuration, or for newer knowledge. */
    private record PendingQuery(QueryConfig query, long arrivedAtMs, Promise<Either<Failure, PeerMessage>> promise) {}

    private final Vertx vertx;
    private final Clock clock;
    private final NodeIdentity self;
    private final ConfigKnowledge knowledge;
    private final BooleanSupplier isFresh;
    private final BooleanSupplier isReader;
    private final List<PendingQuery> pending = new ArrayList<>();

    /**
     * @param isFresh whether the knowledge is recent enough to be passed on
     * @param isReader whether this VM reads the store itself
     */
    ConfigServer(
            Vertx vertx,
            Clock clock,
            NodeIdentity self,
            ConfigKnowledge knowledge,
            BooleanSupplier isFresh,
            BooleanSupplier isReader) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = self;
        this.knowledge = knowledge;
        this.isFresh = isFresh;
        this.isReader = isReader;
        knowledge.onChange(this::answerPending);
    }

    /** Answers as soon as there is a newer configuration or newer knowledge, or when the wait ends. */
    Future<Either<Failure, PeerMessage>> serve(QueryConfig query) {
        boolean earlierRelease = query.knownAgeMs() == null;
        if (earlierRelease && !isReader.getAsBoolean()) {
            return Future.succeededFuture(Either.left(failure(ErrorCode.NOT_READY, "this VM is not a reader")));
        }
        PendingQuery arrived = new PendingQuery(query, clock.nowMs(), Promise.promise());
        if (hasNews(arrived)) {
            return Future.succeededFuture(answer(arrived));
        }
        pending.add(arrived);
        vertx.setTimer(Math.max(1, query.waitMs()), ignored -> {
            if (pending.remove(arrived)) {
                arrived.promise().complete(answer(arrived));
            }
        });
        return arrived.promise().future();
    }

    private void answerPending() {
        List<PendingQuery> answered = pending.stream().filter(this::hasNews).toList();
        pending.removeAll(answered);
        answered.forEach(query -> query.promise().complete(answer(query)));
    }

    private boolean hasNews(PendingQuery waiting) {
        if (!isFresh.getAsBoolean()) {
            return false;
        }
        Long ageMs = waiting.query().knownAgeMs();
        long knownAtMs = knowledge.knownAtMs();
        return knowledge.revision() > waiting.query().afterRevision()
                || knownAtMs >= waiting.arrivedAtMs()
                || ageMs != null && knownAtMs - (waiting.arrivedAtMs() - ageMs) >= MIN_GAIN_MS;
    }

    private Either<Failure, PeerMessage> answer(PendingQuery waiting) {
        boolean earlierRelease = waiting.query().knownAgeMs() == null;
        boolean recent = isFresh.getAsBoolean()
                && (!earlierRelease || clock.nowMs() - knowledge.knownAtMs() < EARLIER_RELEASE_AGE_MS);
        Item item = knowledge.latest().orElse(null);
        if (item == null || !recent) {
            return Either.left(failure(ErrorCode.STORE_UNAVAILABLE, "this VM has no recent read of the configuration"));
        }
        long knownAfterMs = knowledge.knownAtMs() - waiting.arrivedAtMs();
        if (item.revision() <= waiting.query().afterRevision()) {
            return Either.right(new ConfigReply("", new byte[0], 0, knownAfterMs, false));
        }
        byte[] value = item.value();
        byte[] sent = earlierRelease && value != null ? value : knowledge.compressed();
        return sent.length > MAX_VALUE_BYTES
                ? Either.left(failure(ErrorCode.NOT_FOUND, "the configuration does not fit a message"))
                : Either.right(new ConfigReply(item.key(), sent, item.revision(), knownAfterMs, !earlierRelease));
    }

    private Failure failure(ErrorCode code, String reason) {
        return Failure.retryable(code, "config.read", self.vmId(), reason, RETRY_AFTER_MS);
    }
}
