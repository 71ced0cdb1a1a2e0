package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against pools without an owner, unnecessary takeovers, and owners on VMs with little capacity. */
class OwnerElectionTest {
    private static final String POOL = "desk";

    private final FakeSharedStore store = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ManualClock clock = new ManualClock();
    private final ControlView view = new ControlView(clock);
    private final List<Long> claims = new ArrayList<>();
    private Vertx vertx;
    private OwnerElection election;

    @BeforeEach
    void createElection() {
        vertx = Vertx.vertx();
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        NodeLease lease = new NodeLease(vertx, store, self);
        lease.start();
        lease.close();
        election = new OwnerElection(clock, store, view, self, lease, messenger, (pool, token) -> claims.add(token));
        addMember("a", 1);
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private void addMember(String vm, double strength) {
        addMember(vm, strength, false);
    }

    private void addMember(String vm, double strength, boolean draining) {
        Records.Member member = new Records.Member("10.0.0.1", 80, "dc", "r", "1", strength, draining);
        view.onChanged(new Item(StoreKeys.member(vm), Records.encode(member), 1));
    }

    /** Makes another VM the owner of the pool. */
    private void setOwner(String vm) {
        Item item = new Item(StoreKeys.owner(POOL), Records.encode(new Records.Owner(vm, "1")), 5);
        store.items.put(item.key(), item);
        view.onChanged(item);
    }

    private void tickFor(long durationMs) {
        long untilMs = clock.nowMs + durationMs;
        while (clock.nowMs < untilMs) {
            election.tick(List.of(POOL));
            clock.nowMs += 100;
        }
    }

    @Test
    void should_claim_a_pool_without_owner_with_the_revision_as_token() {
        tickFor(500);

        assertThat(claims).hasSize(1);
        assertThat(store.items.get(StoreKeys.owner(POOL)).revision()).isEqualTo(claims.get(0));
        assertThat(election.ownsOrClaims(POOL)).isTrue();
    }

    /** The next owner asks the VMs of all claims since the last recovery. */
    @Test
    void should_leave_a_record_of_its_claim_that_names_the_replaced_one() {
        // given
        setOwner("b");

        // when
        tickFor(1_400);

        // then
        Item record = store.items.get(StoreKeys.claim(POOL, "a", "1"));
        assertThat(record.revision()).isEqualTo(claims.get(0));
        assertThat(Records.decode(record.key(), record.value(), Records.Claim.class)
                        .get())
                .isEqualTo(new Records.Claim("a", 5, 0));
    }

    /** An owner that claims the pool again had leases of its own until it was released, not only until its start. */
    @Test
    void should_tell_when_it_last_owned_a_pool_in_the_same_process() {
        // given
        tickFor(500);
        clock.nowMs += 300;
        long releasedMs = clock.nowMs;
        election.onReleased(POOL);

        // when
        tickFor(500);

        // then
        assertThat(election.ownsOrClaims(POOL)).isTrue();
        assertThat(election.lastOwnedMs(POOL)).isEqualTo(releasedMs);
    }

    @Test
    void should_tell_for_how_long_it_has_not_owned_a_pool() {
        // given
        clock.nowMs += 300;
        long beforeClaimMs = election.notOwnerForMs(POOL);
        tickFor(500);
        long asOwnerMs = election.notOwnerForMs(POOL);

        // when
        election.onReleased(POOL);
        clock.nowMs += 200;

        // then
        assertThat(beforeClaimMs).isEqualTo(300);
        assertThat(asOwnerMs).isZero();
        assertThat(election.notOwnerForMs(POOL)).isEqualTo(200);
    }

    @Test
    void should_wait_for_a_stronger_vm_before_it_claims() {
        // given
        addMember("b", 2);

        // when
        tickFor(300);

        // then
        assertThat(claims).isEmpty();
        tickFor(300);
        assertThat(claims).hasSize(1);
    }

    /** During a rolling stop of the VMs, a pool had no owner for 1 s while VMs waited for one that had stopped. */
    @Test
    void should_not_wait_for_a_stronger_vm_that_is_draining() {
        // given
        addMember("b", 2, true);
        addMember("c", 3, true);

        // when
        tickFor(200);

        // then
        assertThat(claims).hasSize(1);
    }

    /** The removal of a claim may fail; the VM that has released the pool still answers pings. */
    @Test
    void should_supersede_an_owner_that_has_released_the_pool() {
        // given
        setOwner("b");
        messenger.peers.put("b", message -> Future.succeededFuture(Either.right(new PoolPong(false, 0))));

        // when
        tickFor(700);

        // then
        assertThat(claims).hasSize(1);
    }

    /** With a slow store, a stand-by that gets a denial before the claim is answered would supersede a fresh claim. */
    @Test
    void should_report_ownership_while_its_claim_is_in_flight() {
        // given
        store.hangs = true;

        // when
        tickFor(500);

        // then
        assertThat(election.ownsOrClaims(POOL)).isTrue();
        store.hanging.forEach(Runnable::run);
        assertThat(election.ownsOrClaims(POOL)).isFalse();
    }

    @Test
    void should_supersede_an_unresponsive_owner() {
        // given
        setOwner("b");

        // when
        tickFor(700);

        // then
        assertThat(claims).isEmpty();
        tickFor(700);
        assertThat(claims).hasSize(1);
    }

    @Test
    void should_keep_an_owner_that_answers() {
        // given
        setOwner("b");
        messenger.peers.put("b", message -> Future.succeededFuture(Either.right(new PoolPong(true, 0))));

        // when
        tickFor(5_000);

        // then
        assertThat(claims).isEmpty();
        assertThat(messenger.requestedVms).isNotEmpty();
    }

    @Test
    void should_lose_to_a_claim_that_it_has_not_seen() {
        // given
        Item item = new Item(StoreKeys.owner(POOL), Records.encode(new Records.Owner("b", "1")), 5);
        store.items.put(item.key(), item);

        // when
        tickFor(300);

        // then
        assertThat(claims).isEmpty();
        assertThat(view.owner(POOL)).isPresent();
    }
}
