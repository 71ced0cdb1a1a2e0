package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a pool that is claimed over and over, because each claim makes the next owner too slow to answer pings
 * in time, and against owners that hang and are kept.
 */
class SlowOwnerTest {
    private static final String POOL = "desk";
    private static final long TICK_MS = 50;
    private static final long PING_INTERVAL_MS = 250;

    /** The reply or the timeout of a ping, and when it arrives. */
    private record Arrival(long atMs, Either<Failure, PoolPong> result, Promise<Either<Failure, PoolPong>> promise) {}

    private final FakeSharedStore store = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ManualClock clock = new ManualClock();
    private final ControlView view = new ControlView(clock);
    private final List<Long> claims = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private Vertx vertx;
    private OwnerElection election;
    /** Delay of the answers to pings; negative for none. */
    private long answerDelayMs;

    private long revision = 10;

    @BeforeEach
    void createElection() {
        vertx = Vertx.vertx();
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        NodeLease lease = new NodeLease(vertx, store, self);
        lease.start();
        lease.close();
        election = new OwnerElection(clock, store, view, self, lease, messenger, (pool, token) -> claims.add(token));
        for (String vm : List.of("a", "b", "c", "d")) {
            Records.Member member = new Records.Member("10.0.0.1", 80, "dc", "r", "1", vm.equals("a") ? 2 : 1, false);
            view.onChanged(new Item(StoreKeys.member(vm), Records.encode(member), 1));
            messenger.peers.put(vm, this::answerLater);
        }
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private Future<Either<Failure, PoolPong>> answerLater(PeerMessage ping) {
        Promise<Either<Failure, PoolPong>> promise = Promise.promise();
        long timeoutMs = messenger.lastTimeoutMs;
        boolean inTime = answerDelayMs >= 0 && answerDelayMs < timeoutMs;
        arrivals.add(new Arrival(
                clock.nowMs + (inTime ? answerDelayMs : timeoutMs),
                inTime
                        ? Either.right(new PoolPong(true, 0))
                        : Either.left(Failure.outcomeUnknown("peer.request", "peer", "timeout")),
                promise));
        return promise.future();
    }

    /** Another VM claims the pool. */
    private void claimBy(String vm) {
        Item item = new Item(StoreKeys.owner(POOL), Records.encode(new Records.Owner(vm, "1")), ++revision);
        store.items.put(item.key(), item);
        view.onChanged(item);
    }

    private void tickFor(long durationMs) {
        long untilMs = clock.nowMs + durationMs;
        while (clock.nowMs < untilMs) {
            List<Arrival> due = arrivals.stream()
                    .filter(arrival -> arrival.atMs() <= clock.nowMs)
                    .toList();
            arrivals.removeAll(due);
            due.forEach(arrival -> arrival.promise().complete(arrival.result()));
            election.tick(List.of(POOL));
            clock.nowMs += TICK_MS;
        }
    }

    /** Makes another VM the owner for long enough that its claim is not recent any more. */
    private void establishOwner(String vm) {
        claimBy(vm);
        tickFor(12_000);
        assertThat(claims).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {600, 800})
    void should_keep_an_owner_whose_answers_are_all_late(long delayMs) {
        // given
        answerDelayMs = delayMs;
        claimBy("b");

        // when
        tickFor(20_000);

        // then
        assertThat(claims).isEmpty();
    }

    @Test
    void should_keep_a_new_owner_that_is_silent_while_it_loads() {
        // given
        establishOwner("b");
        answerDelayMs = -1;
        claimBy("c");

        // when
        tickFor(1_700);
        answerDelayMs = 0;
        tickFor(10_000);

        // then
        assertThat(claims).isEmpty();
    }

    /** Each owner of a pool was superseded by the next within 2.4 s, each while it loaded the jobs. */
    @Test
    void should_not_hand_the_pool_round_among_owners_that_are_slow_in_turn() {
        // given
        establishOwner("b");
        answerDelayMs = -1;

        // when each owner is silent for longer than the one before
        claimBy("c");
        tickFor(1_500);
        claimBy("d");
        tickFor(3_000);
        answerDelayMs = 0;
        tickFor(10_000);

        // then
        assertThat(claims).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"0, 900", "1, 1800", "2, 3600", "5, 3600"})
    void should_supersede_an_owner_that_hangs_while_its_lease_is_renewed(int recentClaims, long silenceMs) {
        // given
        establishOwner("b");
        for (int i = 0; i < recentClaims; i++) {
            claimBy(i % 2 == 0 ? "c" : "d");
            tickFor(TICK_MS);
        }
        answerDelayMs = -1;

        // when
        tickFor(PING_INTERVAL_MS + silenceMs + 2 * TICK_MS);

        // then
        assertThat(claims).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 3})
    void should_replace_a_dead_owner_once_its_lease_has_expired(int recentClaims) {
        // given
        establishOwner("b");
        for (int i = 0; i < recentClaims; i++) {
            claimBy(i % 2 == 0 ? "c" : "d");
            tickFor(TICK_MS);
        }
        answerDelayMs = -1;
        tickFor(300);

        // when the store removes the claim with the lease of its VM
        store.items.remove(StoreKeys.owner(POOL));
        view.onChanged(new Item(StoreKeys.owner(POOL), null, ++revision));
        tickFor(200);

        // then
        assertThat(claims).hasSize(1);
    }

    /** A stand-by that did not run itself can't tell whether the owner has answered. */
    @Test
    void should_not_count_its_own_pause_as_silence() {
        // given
        establishOwner("b");
        answerDelayMs = 400;
        tickFor(100);

        // when
        clock.nowMs += 3_000;
        election.tick(List.of(POOL));
        tickFor(5_000);

        // then
        assertThat(claims).isEmpty();
    }
}
