package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.PrefixReader;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.tinylog.Logger;

/**
 * Reads the operators' configuration. In a large region, two strong VMs of different data centres read the store, and
 * the other VMs query them ({@link ConfigReaders}). A large configuration thus crosses a link between regions twice
 * instead of once for each VM. Confined to one event loop.
 *
 * <p>Invariants: one read at a time, which its caller repeats; listings hold no version that this VM had before, and
 * only one key is read, which is never removed; {@link #knownAtMs} is never later than the store's own look.
 */
final class ConfigRelay implements PrefixReader {
    /** Wait of one query, in milliseconds: longer than a reader's watch of the store. */
    private static final long QUERY_WAIT_MS = 700;
    /** Time beyond the wait that a reply may take, in milliseconds: a large configuration on a link of 10 Mbit/s. */
    private static final long REPLY_SLACK_MS = 500;
    /** Time limit of a probe of a VM that did not answer, in milliseconds. */
    private static final long PROBE_TIMEOUT_MS = 500;
    /**
     * The same at the start, in milliseconds. After a loss of power, entries of VMs remain whose machines are still
     * down; a connection to such a machine is tried again after a second only.
     */
    private static final long START_PROBE_TIMEOUT_MS = 250;
    /** Queries of one read begin within this time, in milliseconds; one that isn't answered takes most of it. */
    private static final long QUERIES_WITHIN_MS = 2_000;
    /** Largest age of what a query passes on, in milliseconds; a VM without knowledge sends it, too. */
    private static final long MAX_AGE_SENT_MS = 3_600_000;

    /**
     * Age limits of the configuration, in milliseconds. Changes must be applied within 4 s at sites with large regions
     * and within 2.5 s at others, which leaves 0.8 s and 0.7 s to redirect callers. The age of a reader is at most 2.5
     * s in normal operation: a wait of 0.5 s, a pause of 1 s, and two transfers of 0.5 s.
     */
    private static final long MAX_AGE_LARGE_REGION_MS = 3_200;

    private static final long MAX_AGE_MS = 1_800;
    /** Longest pauses between two versions, in milliseconds, within the limits above. */
    private static final long MAX_PAUSE_LARGE_REGION_MS = 1_000;

    private static final long MAX_PAUSE_MS = 400;

    /** A VM that starts waits for the list of VMs for at most this long, in milliseconds. */
    private static final long VIEW_WAIT_MS = 1_000;

    private static final long VIEW_POLL_MS = 20;
    /** VMs that start together find each other within this time, in milliseconds: two calls of the store. */
    private static final long START_DELAY_MS = 100;

    private static final long START_SPREAD_MS = 200;
    /** Delay for each rank of a VM that takes the place of readers that don't answer, in milliseconds at most. */
    private static final long SUBSTITUTE_SPREAD_MS = 100;
    /** Time without news from any reader after which a VM reads the store itself, in milliseconds, and its spread. */
    private static final long LAST_RESORT_MS = 3_000;

    private static final long LAST_RESORT_AT_START_MS = 2_000;
    private static final long LAST_RESORT_SPREAD_MS = 1_500;
    /** The same while readers answer that the store doesn't answer them: this VM couldn't reach it either. */
    private static final long LAST_RESORT_IN_OUTAGE_MS = 8_000;

    private final Vertx vertx;
    private final Clock clock;
    private final PeerMessenger messenger;
    private final ControlView view;
    private final NodeIdentity self;
    private final UniformRandomProvider random;
    private final ConfigKnowledge knowledge = new ConfigKnowledge();
    private final ConfigReaders readers;
    private final ConfigReadPacer pacer;
    private final DirectConfigReads direct;
    private final ConfigServer server;
    /** Random, so that the VMs of a region don't read the store all at once. */
    private final long spreadMs;

    private boolean begun;
    /** Whether other VMs that started together with this one have had the time to appear. */
    private boolean started;

    private boolean lastReadDirect;
    private int rotation;
    private long begunAtMs;
    private long lastNewsAtMs;
    private long lastResortAtMs;

    ConfigRelay(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            PeerMessenger messenger,
            ControlView view,
            NodeIdentity self,
            UniformRandomProvider random) {
        this.vertx = vertx;
        this.clock = clock;
        this.messenger = messenger;
        this.view = view;
        this.self = self;
        this.random = random;
        readers = new ConfigReaders(clock, view, self);
        pacer = new ConfigReadPacer(clock, random);
        direct = new DirectConfigReads(clock, store, knowledge, pacer);
        server = new ConfigServer(vertx, clock, self, knowledge, this::isFresh, readers::isReader);
        spreadMs = random.nextLong(LAST_RESORT_SPREAD_MS);
    }

    /**
     * Time on the monotonic clock as of which the configuration that was read last is known to be the store's newest;
     * far in the past without one.
     */
    long knownAtMs() {
        return knowledge.knownAtMs();
    }

    /** Whether the configuration is recent enough to serve new connections. */
    boolean isFresh() {
        long limitMs = readers.isLargeRegion() ? MAX_AGE_LARGE_REGION_MS : MAX_AGE_MS;
        return clock.nowMs() - knowledge.knownAtMs() < limitMs;
    }

    /** Answers another VM of the region; see {@link ConfigServer}. */
    Future<Either<Failure, PeerMessage>> serve(QueryConfig query) {
        return server.serve(query);
    }

    @Override
    public Future<Either<Failure, Listing>> list(String key) {
        return read(key, true);
    }

    /** The revision and the wait of the caller aren't used, as this class knows better ones. */
    @Override
    public Future<Either<Failure, Listing>> watch(String key, long afterRevision, long waitMs) {
        return read(key, false);
    }

    private Future<Either<Failure, Listing>> read(String key, boolean refresh) {
        if (!begun) {
            begun = true;
            begunAtMs = clock.nowMs();
            lastNewsAtMs = begunAtMs;
            lastResortAtMs = begunAtMs + LAST_RESORT_AT_START_MS + spreadMs;
        }
        long delayMs = pacer.delayMs(readers.isLargeRegion() ? MAX_PAUSE_LARGE_REGION_MS : MAX_PAUSE_MS);
        // After a pause there may be several versions, all of which a watch would transfer.
        Read read = new Read(key, refresh || delayMs > 0);
        return started ? after(delayMs, read::run) : awaitOthers().compose(ignored -> after(delayMs, read::run));
    }

    /** Gives VMs that start together the time to find each other, so that they don't all read the store. */
    private Future<Void> awaitOthers() {
        if (readers.isLargeRegion()) {
            started = true;
            return Future.succeededFuture();
        }
        if (!view.isListed() && clock.nowMs() - begunAtMs < VIEW_WAIT_MS) {
            return after(VIEW_POLL_MS, this::awaitOthers);
        }
        started = true;
        return after(START_DELAY_MS + random.nextLong(START_SPREAD_MS), Future::<Void>succeededFuture);
    }

    private <T> Future<T> after(long delayMs, Supplier<Future<T>> action) {
        if (delayMs <= 0) {
            return action.get();
        }
        Promise<T> promise = Promise.promise();
        vertx.setTimer(delayMs, ignored -> action.get().onComplete(promise));
        return promise.future();
    }

    /** One read, by queries of other VMs or from the store. */
    private final class Read {
        private final String key;
        private final boolean refresh;
        private final long beganAtMs = clock.nowMs();
        private final Set<String> queried = new HashSet<>();
        /** VMs that were probed first, as a VM without configuration can't wait for one that is down. */
        private final Set<String> tried = new HashSet<>();

        private boolean delayed;
        private boolean outage;

        private Read(String key, boolean refresh) {
            this.key = key;
            this.refresh = refresh;
        }

        private Future<Either<Failure, Listing>> run() {
            if (!readers.isLargeRegion()) {
                return readStore(false);
            }
            probeUnresponsive();
            List<String> chosen = readers.choose();
            if (chosen.contains(self.vmId())) {
                if (delayed || lastReadDirect || readers.isFirstChoice(self.vmId())) {
                    return readStore(true);
                }
                // The VMs before it may be about to take the place of the readers as well.
                delayed = true;
                return after(random.nextLong(SUBSTITUTE_SPREAD_MS * (readers.rank() + 1)), this::run);
            }
            List<String> untried =
                    chosen.stream().filter(vm -> !tried.contains(vm)).toList();
            if (knowledge.revision() == 0 && !untried.isEmpty()) {
                tried.addAll(untried);
                return Future.join(untried.stream()
                                .map(vm -> probe(vm, START_PROBE_TIMEOUT_MS))
                                .toList())
                        .compose(ignored -> run());
            }
            if (clock.nowMs() >= lastResortAtMs) {
                Logger.warn(
                        "event=config-read-without-reader vm={} known_ms={} readers={}",
                        self.vmId(),
                        clock.nowMs() - lastNewsAtMs,
                        chosen);
                postponeLastResort(LAST_RESORT_MS);
                return readStore(true);
            }
            return queryNext(chosen);
        }

        private Future<Either<Failure, Listing>> readStore(boolean isReader) {
            long knownBeforeMs = knowledge.knownAtMs();
            return (refresh ? direct.refresh(key) : direct.watch(key, isReader)).onSuccess(result -> {
                lastReadDirect = result.isRight();
                noteNews(knownBeforeMs);
            });
        }

        private Future<Either<Failure, Listing>> queryNext(List<String> chosen) {
            for (String reader : inOrder(chosen)) {
                if (clock.nowMs() - beganAtMs < QUERIES_WITHIN_MS && queried.add(reader)) {
                    return query(reader);
                }
            }
            if (outage) {
                long limitMs = lastNewsAtMs + LAST_RESORT_IN_OUTAGE_MS + spreadMs;
                lastResortAtMs = Math.max(lastResortAtMs, Math.min(limitMs, clock.nowMs() + LAST_RESORT_MS));
            }
            pacer.onFailure();
            return Future.succeededFuture(Either.left(Failure.retryable(
                    ErrorCode.STORE_UNAVAILABLE,
                    "config.read",
                    self.vmId(),
                    "no reader of the region has replied with a recent configuration",
                    QUERY_WAIT_MS)));
        }

        /**
         * Half of the VMs ask either reader first. A substitute comes last, as it may not know yet that it is one, and
         * may have its knowledge from the other reader.
         */
        private List<String> inOrder(List<String> chosen) {
            List<String> order = new ArrayList<>(chosen);
            if (chosen.stream().allMatch(readers::isFirstChoice)) {
                Collections.rotate(order, rotation + readers.rank());
            } else {
                order.sort(Comparator.comparing(vm -> !readers.isFirstChoice(vm)));
            }
            return order;
        }

        private Future<Either<Failure, Listing>> query(String reader) {
            long sentAtMs = clock.nowMs();
            long ageMs = Math.min(MAX_AGE_SENT_MS, sentAtMs - knowledge.knownAtMs());
            QueryConfig query = new QueryConfig(knowledge.revision(), QUERY_WAIT_MS, ageMs);
            return messenger
                    .request(reader, query, ConfigReply.class, QUERY_WAIT_MS + REPLY_SLACK_MS)
                    .compose(reply -> onReply(reader, sentAtMs, reply));
        }

        private Future<Either<Failure, Listing>> onReply(
                String reader, long sentAtMs, Either<Failure, ConfigReply> reply) {
            long elapsedMs = clock.nowMs() - sentAtMs;
            if (reply.isRight()) {
                Either<Failure, Listing> read = apply(reader, sentAtMs, reply.get());
                if (read.isRight()) {
                    readers.onAnswer(reader);
                    return Future.succeededFuture(read);
                }
                readers.onNoAnswer(reader, elapsedMs, read.getLeft().message());
            } else if (isAnswer(reply.getLeft().code())) {
                // The reader answers but can't reach the store even through peers, so this VM couldn't either.
                outage |= reply.getLeft().code() == ErrorCode.STORE_UNAVAILABLE;
                readers.onAnswer(reader);
                rotation++;
            } else {
                readers.onNoAnswer(reader, elapsedMs, reply.getLeft().message());
            }
            return run();
        }

        private Either<Failure, Listing> apply(String reader, long sentAtMs, ConfigReply reply) {
            Long knownAfterMs = reply.knownAfterMs();
            // Reckoned from the sending of the query, which the reader got later.
            long asOfMs = sentAtMs + (knownAfterMs == null ? -ConfigServer.EARLIER_RELEASE_AGE_MS : knownAfterMs);
            asOfMs = Math.min(asOfMs, clock.nowMs());
            long knownBeforeMs = knowledge.knownAtMs();
            byte[] sent = reply.value();
            if (sent.length == 0) {
                onRelayedRead(0, sentAtMs);
                knowledge.onUnchanged(asOfMs);
                noteNews(knownBeforeMs);
                return Either.right(new Listing(List.of(), knowledge.revision()));
            }
            byte[] value = reply.compressed() ? CompressedConfig.inflate(sent).orElseGet(() -> new byte[0]) : sent;
            if (value.length == 0) {
                return Either.left(Failure.outcomeUnknown("config.read", reader, "unreadable compressed value"));
            }
            Item item = new Item(reply.key(), value, reply.revision());
            onRelayedRead(sent.length, sentAtMs);
            boolean changed = knowledge.onRead(item, asOfMs);
            noteNews(knownBeforeMs);
            if (changed) {
                Logger.info(
                        "event=config-read path={} revision={} bytes={} value_bytes={} elapsed_ms={} age_ms={}",
                        reader,
                        reply.revision(),
                        sent.length,
                        value.length,
                        clock.nowMs() - sentAtMs,
                        clock.nowMs() - asOfMs);
            }
            return Either.right(new Listing(changed ? List.of(item) : List.of(), knowledge.revision()));
        }

        private void onRelayedRead(long bytes, long sentAtMs) {
            pacer.onSuccess(clock.nowMs() - sentAtMs, bytes);
            direct.onReadElsewhere();
            lastReadDirect = false;
        }
    }

    private void probeUnresponsive() {
        readers.dueProbes().forEach(vm -> probe(vm, PROBE_TIMEOUT_MS));
    }

    /** Finds out whether a VM answers, and tells {@link ConfigReaders}. */
    private Future<Void> probe(String vm, long timeoutMs) {
        long sentAtMs = clock.nowMs();
        // Asks for a revision that doesn't exist, so that the reply holds no value.
        return messenger
                .request(vm, new QueryConfig(Long.MAX_VALUE, 1, 0L), ConfigReply.class, timeoutMs)
                .onSuccess(reply -> {
                    if (reply.isRight() || isAnswer(reply.getLeft().code())) {
                        readers.onAnswer(vm);
                    } else {
                        readers.onNoAnswer(
                                vm, clock.nowMs() - sentAtMs, reply.getLeft().message());
                    }
                })
                .mapEmpty();
    }

    /** Whether a VM that replies with this code can answer queries, though not this one. */
    private static boolean isAnswer(ErrorCode code) {
        return code == ErrorCode.STORE_UNAVAILABLE || code == ErrorCode.NOT_FOUND;
    }

    private void noteNews(long knownBeforeMs) {
        if (knowledge.knownAtMs() > knownBeforeMs) {
            lastNewsAtMs = clock.nowMs();
            postponeLastResort(LAST_RESORT_MS);
        } else if (clock.nowMs() - knowledge.knownAtMs() > MAX_AGE_MS) {
            // The other reader may know more.
            rotation++;
        }
    }

    private void postponeLastResort(long delayMs) {
        lastResortAtMs = clock.nowMs() + delayMs + random.nextLong(LAST_RESORT_SPREAD_MS);
    }
}
