package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import io.radishspindle.protocol.message.PoolMessages.RelayStoreReply;
import io.radishspindle.protocol.message.PoolMessages.RelayedItem;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Client of the shared store that calls it directly, or through another VM while the store rejects or does not answer
 * this one. Confined to one event loop.
 *
 * <p>Invariants: a write is retried through another VM only if it surely had no effect; callers resolve unknown
 * outcomes themselves. Leases are always created and ended directly. A part of an answer is as good a sign of the
 * direct path as a complete one, and a failure counts only if no sign has come since its call was sent.
 */
final class RelayedStore implements SharedStore {
    /** Timeout of a relayed call, in milliseconds: a store call and a round trip between regions. */
    private static final long RELAY_TIMEOUT_MS = 1_300;
    /**
     * Longest timeout of a relayed listing, in milliseconds: the largest one that fits a frame, read and sent on at 4
     * Mbit/s each.
     */
    private static final long MAX_RELAYED_LIST_TIMEOUT_MS = 5_200;
    /** Wait of a relayed watch, in milliseconds; with a slow store it still ends within the timeout above. */
    private static final long RELAYED_WAIT_MS = 700;
    /** A call pending for longer than this marks the store as unavailable; a slow store takes up to 400 ms. */
    private static final long UNANSWERED_CALL_MS = 600;
    /** Bounds of the retry delay reported to callers, in milliseconds; they retry a request up to four times. */
    private static final long MIN_RETRY_AFTER_MS = 1_000;

    private static final long MAX_RETRY_AFTER_MS = 3_000;
    /** Interval of probes while the direct path is down, in milliseconds; callers are rejected meanwhile. */
    private static final long PROBE_INTERVAL_MS = 150;
    /** Timeout of a probe, in milliseconds; a slow store takes up to 400 ms. */
    private static final long PROBE_TIMEOUT_MS = 500;
    /** An unresponsive peer gets no calls for this long, in milliseconds; a restart takes 1 to 2 s. */
    private static final long PEER_BACKOFF_MS = 2_000;
    /** Peers that are tried for one call. */
    private static final int MAX_PEERS = 2;

    private final Clock clock;
    private final SharedStore direct;
    private final PeerMessenger messenger;
    private final Supplier<List<String>> peers;
    /** Start times of the direct calls in flight, oldest first; watches are left out, since they wait. */
    private final Map<Long, Long> outstanding = new LinkedHashMap<>();

    private final Map<String, Long> backOffUntilMs = new HashMap<>();
    /** Timeouts of the next relayed listings by prefix, in milliseconds, where they differ from the usual one. */
    private final Map<String, Long> listTimeoutsMs = new HashMap<>();

    /** Listings for other VMs. */
    private final JoinedReads<Either<Failure, Listing>> servedListings = new JoinedReads<>();

    private long calls;
    private long lastSuccessMs = Long.MIN_VALUE + 1;
    private long lastFailureMs = Long.MIN_VALUE;
    private int rotation;
    private boolean relaying;
    private long downSinceMs;
    private long lastProbeMs;

    /** @param peers ids of the other VMs */
    RelayedStore(Clock clock, SharedStore direct, PeerMessenger messenger, Supplier<List<String>> peers) {
        this.clock = clock;
        this.direct = direct;
        this.messenger = messenger;
        this.peers = peers;
        direct.onPartialAnswer(this::recordSuccess);
    }

    /** Whether the last direct call failed or one in flight is overdue without an answer to any since it was sent. */
    boolean isDirectPathDown() {
        if (lastFailureMs > lastSuccessMs) {
            return true;
        }
        for (long sentAtMs : outstanding.values()) {
            if (sentAtMs > lastSuccessMs) {
                return clock.nowMs() - sentAtMs > UNANSWERED_CALL_MS;
            }
        }
        return false;
    }

    private void recordSuccess() {
        lastSuccessMs = clock.nowMs();
        reportPath();
    }

    /** Probes the direct path while it is down, to detect its return soon; called several times a second. */
    void tick() {
        long nowMs = clock.nowMs();
        if (isDirectPathDown() && nowMs - lastProbeMs >= PROBE_INTERVAL_MS) {
            lastProbeMs = nowMs;
            direct.probe(PROBE_TIMEOUT_MS).onSuccess(result -> observe(result, nowMs));
        }
    }

    @Override
    public void onPartialAnswer(Runnable listener) {
        direct.onPartialAnswer(() -> {
            recordSuccess();
            listener.run();
        });
    }

    @Override
    public Future<Either<Failure, Boolean>> probe(long timeoutMs) {
        return direct.probe(timeoutMs);
    }

    /**
     * Retry delay for a caller that is rejected now, in milliseconds: an outage that has lasted for some time is
     * expected to last as long again.
     */
    long retryAfterMs() {
        long ageMs = relaying ? clock.nowMs() - downSinceMs : 0;
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, ageMs));
    }

    @Override
    public Future<Either<Failure, Optional<Item>>> get(String key) {
        return call(
                () -> direct.get(key),
                new RelayStore("get", key, 0, Map.of(), List.of(), List.of()),
                reply -> reply.items().stream().findFirst().map(RelayedStore::item));
    }

    @Override
    public Future<Either<Failure, Listing>> list(String prefix) {
        return call(
                () -> direct.list(prefix),
                new RelayStore("list", prefix, 0, Map.of(), List.of(), List.of()),
                RelayedStore::listing);
    }

    @Override
    public Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs) {
        if (isDirectPathDown() && !peers.get().isEmpty()) {
            RelayStore relay = new RelayStore("watch", prefix, afterRevision, Map.of(), List.of(), List.of());
            return relay(relay, 0, unavailable("watch")).map(reply -> reply.map(RelayedStore::listing));
        }
        long sentAtMs = clock.nowMs();
        return direct.watch(prefix, afterRevision, waitMs).onSuccess(result -> observe(result, sentAtMs));
    }

    private static Failure unavailable(String operation) {
        return Failure.retryable(
                ErrorCode.STORE_UNAVAILABLE,
                "store." + operation,
                "store",
                "the store is unavailable",
                MIN_RETRY_AFTER_MS);
    }

    private static Listing listing(RelayStoreReply reply) {
        return new Listing(reply.items().stream().map(RelayedStore::item).toList(), reply.revision());
    }

    @Override
    public Future<Either<Failure, TxnResult>> transact(Txn txn) {
        List<RelayedItem> writes = txn.writes().stream()
                .map(write -> new RelayedItem(write.key(), write.value(), 0, write.lease()))
                .toList();
        return call(
                () -> direct.transact(txn),
                new RelayStore("transact", "", 0, txn.expected(), writes, txn.removals()),
                reply -> new TxnResult(
                        reply.applied(),
                        reply.revision(),
                        reply.items().stream().map(RelayedStore::item).toList()));
    }

    @Override
    public Future<Either<Failure, Long>> createLease(long ttlMs) {
        long sentAtMs = clock.nowMs();
        return direct.createLease(ttlMs).onSuccess(result -> observe(result, sentAtMs));
    }

    /** Tries the direct path first, which also detects when that works again. */
    @Override
    public Future<Either<Failure, Long>> renewLease(long lease) {
        RelayStore relay = new RelayStore("renew", "", lease, Map.of(), List.of(), List.of());
        return direct(() -> direct.renewLease(lease)).compose(result -> {
            boolean unresolved = result.isLeft() && result.getLeft().code() != ErrorCode.NOT_FOUND;
            return unresolved
                    ? relay(relay, 0, result.getLeft()).map(reply -> reply.map(RelayStoreReply::revision))
                    : Future.succeededFuture(result);
        });
    }

    @Override
    public Future<Either<Failure, Long>> endLease(long lease) {
        return direct.endLease(lease);
    }

    private <T> Future<Either<Failure, T>> direct(Supplier<Future<Either<Failure, T>>> directCall) {
        long call = ++calls;
        long sentAtMs = clock.nowMs();
        outstanding.put(call, sentAtMs);
        return directCall.get().onSuccess(result -> {
            outstanding.remove(call);
            observe(result, sentAtMs);
        });
    }

    private <T> Future<Either<Failure, T>> call(
            Supplier<Future<Either<Failure, T>>> directCall, RelayStore relay, Function<RelayStoreReply, T> decoder) {
        if (isDirectPathDown()) {
            return relay(relay, 0, unavailable(relay.operation())).compose(reply -> {
                boolean notRun = reply.isLeft() && reply.getLeft().notRun();
                return notRun && peers.get().isEmpty()
                        ? direct(directCall)
                        : Future.succeededFuture(reply.map(decoder));
            });
        }
        return direct(directCall).compose(result -> {
            boolean rejected = result.isLeft()
                    && result.getLeft().notRun()
                    && result.getLeft().code() == ErrorCode.STORE_UNAVAILABLE;
            return rejected
                    ? relay(relay, 0, result.getLeft()).map(reply -> reply.map(decoder))
                    : Future.succeededFuture(result);
        });
    }

    private Future<Either<Failure, RelayStoreReply>> relay(RelayStore message, int tries, Failure cause) {
        List<String> candidates = peers.get();
        if (candidates.isEmpty() || tries >= MAX_PEERS) {
            return Future.succeededFuture(Either.left(cause));
        }
        String peer = nextPeer(candidates);
        return messenger
                .request(peer, message, RelayStoreReply.class, timeoutMs(message))
                .onSuccess(reply -> recordReply(peer, message, reply))
                .compose(reply -> reply.isLeft() && reply.getLeft().notRun() && isOutage(reply.getLeft())
                        ? relay(message, tries + 1, cause)
                        : Future.succeededFuture(reply));
    }

    /** Next peer in round-robin order that is not backed off, or the next one if all are. */
    private String nextPeer(List<String> candidates) {
        for (int i = 0; i < candidates.size(); i++) {
            String peer = candidates.get(Math.floorMod(rotation++, candidates.size()));
            if (backOffUntilMs.getOrDefault(peer, Long.MIN_VALUE) <= clock.nowMs()) {
                return peer;
            }
        }
        return candidates.get(Math.floorMod(rotation++, candidates.size()));
    }

    private long timeoutMs(RelayStore message) {
        return isListing(message) ? listTimeoutsMs.getOrDefault(message.key(), RELAY_TIMEOUT_MS) : RELAY_TIMEOUT_MS;
    }

    private static boolean isListing(RelayStore message) {
        return message.operation().equals("list");
    }

    private void recordReply(String peer, RelayStore message, Either<Failure, RelayStoreReply> reply) {
        if (isListing(message)) {
            recordListing(message.key(), reply);
        }
        boolean unresponsive = reply.isLeft()
                && (reply.getLeft().code() == ErrorCode.PEER_UNREACHABLE
                        || reply.getLeft().code() == ErrorCode.OUTCOME_UNKNOWN);
        if (unresponsive) {
            backOffUntilMs.put(peer, clock.nowMs() + PEER_BACKOFF_MS);
        } else {
            backOffUntilMs.remove(peer);
        }
    }

    /** Allows the next listing more time after one that may have been on its way. */
    private void recordListing(String prefix, Either<Failure, RelayStoreReply> reply) {
        if (reply.isRight()) {
            listTimeoutsMs.remove(prefix);
        } else if (reply.getLeft().code() == ErrorCode.OUTCOME_UNKNOWN) {
            long timeoutMs = listTimeoutsMs.getOrDefault(prefix, RELAY_TIMEOUT_MS);
            listTimeoutsMs.put(prefix, Math.min(MAX_RELAYED_LIST_TIMEOUT_MS, 2 * timeoutMs));
        }
    }

    private static boolean isOutage(Failure failure) {
        return failure.code() == ErrorCode.STORE_UNAVAILABLE
                || failure.code() == ErrorCode.PEER_UNREACHABLE
                || failure.code() == ErrorCode.OVERLOADED;
    }

    /** Ignores a failure as outdated if another call has succeeded since the failed call was sent. */
    private void observe(Either<Failure, ?> result, long sentAtMs) {
        boolean failed = result.isLeft()
                && (result.getLeft().code() == ErrorCode.STORE_UNAVAILABLE
                        || result.getLeft().code() == ErrorCode.OUTCOME_UNKNOWN);
        if (!failed) {
            recordSuccess();
            return;
        }
        if (sentAtMs >= lastSuccessMs) {
            lastFailureMs = clock.nowMs();
        }
        reportPath();
    }

    private void reportPath() {
        if (relaying != isDirectPathDown()) {
            relaying = isDirectPathDown();
            downSinceMs = clock.nowMs();
            Logger.info("event=store-path path={}", relaying ? "peers" : "direct");
        }
    }

    /** Executes a call for another VM, directly only: it is never relayed further. */
    Future<Either<Failure, RelayStoreReply>> serve(RelayStore message) {
        if (isDirectPathDown()) {
            return Future.succeededFuture(Either.left(unavailableHere()));
        }
        return switch (message.operation()) {
            case "get" ->
                direct.get(message.key())
                        .map(result -> result.map(item -> new RelayStoreReply(
                                true,
                                0,
                                item.map(RelayedStore::relayed).stream().toList())));
            case "list" ->
                servedListings
                        .read(message.key(), () -> serveListing(message.key()))
                        .map(result -> result.map(
                                listing -> new RelayStoreReply(true, listing.revision(), relayed(listing.items()))));
            case "watch" ->
                direct.watch(message.key(), message.argument(), RELAYED_WAIT_MS)
                        .map(result -> result.map(
                                listing -> new RelayStoreReply(true, listing.revision(), relayed(listing.items()))));
            case "renew" ->
                direct.renewLease(message.argument())
                        .map(result -> result.map(ttlMs -> new RelayStoreReply(true, ttlMs, List.of())));
            case "transact" ->
                direct.transact(txn(message))
                        .map(result -> result.map(
                                done -> new RelayStoreReply(done.applied(), done.revision(), relayed(done.current()))));
            default ->
                Future.succeededFuture(Either.left(Failure.rejected(
                        ErrorCode.INVALID_REQUEST, "store.relay", "unknown operation " + message.operation())));
        };
    }

    private Future<Either<Failure, Listing>> serveListing(String prefix) {
        return isDirectPathDown() ? Future.succeededFuture(Either.left(unavailableHere())) : direct.list(prefix);
    }

    private static Failure unavailableHere() {
        return Failure.retryable(
                ErrorCode.STORE_UNAVAILABLE,
                "store.relay",
                "store",
                "the store is unavailable to this VM as well",
                1_000);
    }

    private static Txn txn(RelayStore message) {
        List<Write> writes = new ArrayList<>();
        message.writes().forEach(item -> writes.add(new Write(item.key(), item.value(), item.lease())));
        return new Txn(message.expected(), writes, message.removals());
    }

    private static List<RelayedItem> relayed(List<Item> items) {
        return items.stream().map(RelayedStore::relayed).toList();
    }

    private static RelayedItem relayed(Item item) {
        byte[] value = item.value();
        return new RelayedItem(item.key(), value == null ? new byte[0] : value, item.exists() ? item.revision() : 0, 0);
    }

    private static Item item(RelayedItem item) {
        // Every existing key has a revision above 0.
        return new Item(item.key(), item.revision() == 0 ? null : item.value(), item.revision());
    }
}
