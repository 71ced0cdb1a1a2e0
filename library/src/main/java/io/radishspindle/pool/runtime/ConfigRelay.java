package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.port.PrefixReader;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.runtime.Records.Member;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Reads the operators' configuration. In a large region away from the store two strong VMs read it there, in different
 * data centres, and the others ask them, so that a large configuration crosses the link between regions twice instead
 * of once for each VM. Belongs to one event loop.
 *
 * <p>Invariant: a VM passes on the configuration only while its own reads succeed.
 */
final class ConfigRelay implements PrefixReader {
    /**
     * Smaller regions read the store directly: a configuration of 0.5 MB takes 0.1 s for each VM on a link of 42
     * Mbit/s between regions.
     */
    private static final int MIN_REGION_VMS = 6;
    /** Wait of one question, in milliseconds; short, as a reader that hangs is only noticed at its end. */
    private static final long WAIT_MS = 700;
    /** Time beyond its wait that an answer may take, in milliseconds: a large configuration on a link of 10 Mbit/s. */
    private static final long ANSWER_MS = 500;
    /** A reader that has not answered is not asked for this long, in milliseconds; a restart takes 1 to 2 s. */
    private static final long PASS_OVER_MS = 2_000;
    /**
     * The store is asked directly after this long without a word from a reader, in milliseconds; changes are due
     * within 4 s.
     */
    private static final long DIRECT_AFTER_MS = 1_500;
    /** Largest configuration that fits a message, in bytes. */
    private static final int MAX_BYTES = 900 * 1024;

    /** Readers should be strong, since they send a large configuration to all others of the region. */
    private static final Comparator<Map.Entry<String, Member>> STRONGEST_FIRST = Comparator.comparingDouble(
                    (Map.Entry<String, Member> vm) -> -vm.getValue().strength())
            .thenComparing(Map.Entry::getKey);

    /** A question that waits for a newer configuration. */
    private record Waiting(long afterRevision, Promise<Either<Failure, PeerMessage>> promise) {}

    private final Vertx vertx;
    private final Clock clock;
    private final PrefixReader direct;
    private final PeerMessenger messenger;
    private final ControlView view;
    private final NodeIdentity self;
    private final BooleanSupplier isFresh;
    private final Map<String, Long> passedOverUntilMs = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private @Nullable Item latest;
    private long lastAnswerMs;

    /** @param isFresh whether the configuration has been read lately */
    ConfigRelay(
            Vertx vertx,
            Clock clock,
            PrefixReader direct,
            PeerMessenger messenger,
            ControlView view,
            NodeIdentity self,
            BooleanSupplier isFresh) {
        this.vertx = vertx;
        this.clock = clock;
        this.direct = direct;
        this.messenger = messenger;
        this.view = view;
        this.self = self;
        this.isFresh = isFresh;
        lastAnswerMs = clock.nowMs();
    }

    @Override
    public Future<Either<Failure, Listing>> list(String prefix) {
        return read(0, () -> direct.list(prefix));
    }

    @Override
    public Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs) {
        return read(afterRevision, () -> direct.watch(prefix, afterRevision, waitMs));
    }

    private Future<Either<Failure, Listing>> read(
            long afterRevision, Supplier<Future<Either<Failure, Listing>>> directly) {
        List<String> readers = readers();
        if (readers.isEmpty()) {
            return directly.get();
        }
        long nowMs = clock.nowMs();
        Iterator<String> asked = readers.stream()
                .filter(vm -> passedOverUntilMs.getOrDefault(vm, Long.MIN_VALUE) <= nowMs)
                .iterator();
        return ask(asked, afterRevision, directly);
    }

    private Future<Either<Failure, Listing>> ask(
            Iterator<String> readers, long afterRevision, Supplier<Future<Either<Failure, Listing>>> directly) {
        if (!readers.hasNext()) {
            // All VMs of the region at once would take so long to read a large configuration that none succeeds.
            return clock.nowMs() - lastAnswerMs < DIRECT_AFTER_MS
                    ? Future.succeededFuture(Either.left(unavailable("no reader of the region has answered")))
                    : directly.get();
        }
        String reader = readers.next();
        return messenger
                .request(reader, new QueryConfig(afterRevision, WAIT_MS), ConfigReply.class, WAIT_MS + ANSWER_MS)
                .compose(reply -> {
                    if (reply.isRight()) {
                        lastAnswerMs = clock.nowMs();
                        return Future.succeededFuture(Either.right(listing(reply.get(), afterRevision)));
                    }
                    if (reply.getLeft().code() == ErrorCode.STORE_UNAVAILABLE) {
                        // The reader lives and reaches the store through no peer, so that this VM would not either.
                        lastAnswerMs = clock.nowMs();
                    } else {
                        passedOverUntilMs.put(reader, clock.nowMs() + PASS_OVER_MS);
                    }
                    return ask(readers, afterRevision, directly);
                });
    }

    private static Listing listing(ConfigReply answer, long afterRevision) {
        return answer.value().length == 0
                ? new Listing(List.of(), afterRevision)
                : new Listing(List.of(new Item(answer.key(), answer.value(), answer.revision())), answer.revision());
    }

    /** VMs to be asked; empty if this VM reads the store itself. */
    private List<String> readers() {
        if (self.region().equals(view.homeRegion())) {
            return List.of();
        }
        List<Map.Entry<String, Member>> region = view.active().entrySet().stream()
                .filter(vm -> vm.getValue().region().equals(self.region()))
                .sorted(STRONGEST_FIRST)
                .toList();
        if (region.size() < MIN_REGION_VMS) {
            return List.of();
        }
        Map.Entry<String, Member> first = region.get(0);
        List<String> readers = new ArrayList<>(List.of(first.getKey()));
        region.stream()
                .filter(vm ->
                        !vm.getValue().dataCentre().equals(first.getValue().dataCentre()))
                .findFirst()
                .ifPresent(vm -> readers.add(vm.getKey()));
        return readers.contains(self.vmId()) ? List.of() : readers;
    }

    /** The configuration as this VM has read it last. */
    void seen(Item item) {
        Item before = latest;
        if (before != null && before.revision() >= item.revision()) {
            return;
        }
        latest = item;
        List<Waiting> answered = waiting.stream()
                .filter(question -> question.afterRevision() < item.revision())
                .toList();
        waiting.removeAll(answered);
        answered.forEach(question -> question.promise().complete(answer(item)));
    }

    /** Answers a VM of the same region, at once or as soon as there is a newer configuration. */
    Future<Either<Failure, PeerMessage>> serve(QueryConfig query) {
        Item item = latest;
        if (item == null || !isFresh.getAsBoolean()) {
            return Future.succeededFuture(Either.left(unavailable("the configuration has not been read lately")));
        }
        if (item.revision() > query.afterRevision()) {
            return Future.succeededFuture(answer(item));
        }
        Waiting question = new Waiting(query.afterRevision(), Promise.promise());
        waiting.add(question);
        vertx.setTimer(Math.max(1, query.waitMs()), ignored -> {
            if (waiting.remove(question)) {
                question.promise().complete(Either.right(new ConfigReply("", new byte[0], 0)));
            }
        });
        return question.promise().future();
    }

    private Either<Failure, PeerMessage> answer(Item item) {
        byte[] value = item.value();
        return value == null || value.length > MAX_BYTES
                ? Either.left(Failure.retryable(
                        ErrorCode.NOT_FOUND,
                        "config.read",
                        self.vmId(),
                        "the configuration is absent or does not fit a message",
                        DIRECT_AFTER_MS))
                : Either.right(new ConfigReply(item.key(), value, item.revision()));
    }

    private Failure unavailable(String reason) {
        return Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "config.read", self.vmId(), reason, DIRECT_AFTER_MS);
    }
}
