package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against loaded tasks that wait for leases of owners that have ended, and against taking an owner for ended
 * that may still renew leases.
 */
class EarlierOwnersTest {
    private static final String POOL = "desk";
    private static final long TOKEN = 20;
    private static final long STARTED_MS = 500;
    private static final Item OWN = claim("a", "2", 20, 12, 0);

    private final FakeSharedStore store = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ManualClock clock = new ManualClock();
    private final NodeIdentity self = new NodeIdentity("a", "2", "10.0.0.1", 80, "dc", "r", 1);
    private final EarlierOwners owners = new EarlierOwners(clock, store, messenger, self, POOL, TOKEN, STARTED_MS);

    /** The record of a claim; its owner has completed its recovery if {@code recoveredToken} is set. */
    private static Item claim(String vm, String boot, long revision, long replaced, long recoveredToken) {
        return new Item(
                StoreKeys.claim(POOL, vm, boot),
                Records.encode(new Records.Claim(vm, replaced, recoveredToken)),
                revision);
    }

    private void answer(String vm, boolean owner, long notOwnerForMs) {
        messenger.peers.put(vm, message -> Future.succeededFuture(Either.right(new PoolPong(owner, notOwnerForMs))));
    }

    /** Returns the reported ends within a time. */
    private List<Long> check(long durationMs) {
        List<Long> reported = new ArrayList<>();
        long untilMs = clock.nowMs + durationMs;
        for (; clock.nowMs < untilMs; clock.nowMs += 50) {
            owners.check().ifPresent(reported::add);
        }
        return reported;
    }

    @Test
    void should_report_the_latest_end_once_all_earlier_owners_deny_their_ownership() {
        // given
        owners.load(List.of(claim("b", "1", 9, 3, 5), claim("c", "1", 12, 5, 0), OWN));
        clock.nowMs = 10_000;
        answer("b", false, 3_000);

        // when
        List<Long> early = check(500);
        answer("c", false, 1_000);
        List<Long> late = check(500);

        // then
        assertThat(early).isEmpty();
        assertThat(late).singleElement().satisfies(ms -> assertThat(ms).isBetween(9_500L, 9_750L));
    }

    @Test
    void should_report_no_end_while_an_earlier_owner_is_silent_or_still_owns_the_pool() {
        // given
        owners.load(List.of(claim("b", "1", 9, 3, 5), claim("c", "1", 12, 5, 0), OWN));
        answer("c", true, 0);

        // when
        List<Long> reported = check(20_000);

        // then
        assertThat(reported).isEmpty();
        assertThat(messenger.requestedVms).contains("b", "c");
    }

    /** The earlier processes of this VM had ended when its present one was started. */
    @Test
    void should_report_the_start_of_this_process_if_its_vm_was_the_earlier_owner() {
        // given
        owners.load(List.of(claim("a", "1", 14, 3, 12), OWN));
        clock.nowMs = 3_000;

        // when
        List<Long> reported = check(500);

        // then
        assertThat(reported).containsExactly(STARTED_MS);
    }

    /** All VMs were lost, so that their claims had ended with their leases. */
    @Test
    void should_know_the_earlier_owners_of_claims_that_have_ended() {
        // given
        owners.load(List.of(claim("b", "1", 9, 3, 5), claim("c", "1", 12, 0, 0), claim("a", "2", 20, 0, 0)));
        answer("b", false, 10);
        answer("c", false, 10);

        // when
        List<Long> reported = check(500);

        // then
        assertThat(reported).hasSize(1);
    }

    static Stream<List<Item>> incompleteRecords() {
        return Stream.of(
                List.of(),
                List.of(OWN),
                // the oldest has not completed its recovery, so that an owner before it may have leases
                List.of(claim("b", "1", 12, 3, 0), OWN),
                // the claim of revision 12, of a release without records
                List.of(claim("b", "1", 9, 3, 5), OWN),
                List.of(claim("b", "1", 9, 3, 5), claim("c", "1", 12, 8, 0), OWN),
                // the claim of this owner has been replaced
                List.of(claim("b", "1", 14, 3, 12), OWN, claim("c", "1", 22, 20, 0)),
                List.of(
                        claim("b", "1", 14, 3, 12),
                        new Item(StoreKeys.claim(POOL, "c", "1"), new byte[] {1}, 13),
                        OWN));
    }

    @ParameterizedTest
    @MethodSource("incompleteRecords")
    void should_report_no_end_if_an_earlier_owner_may_be_unknown(List<Item> records) {
        // given
        owners.load(records);
        answer("b", false, 10);
        answer("c", false, 10);

        // when
        List<Long> reported = check(20_000);

        // then
        assertThat(reported).isEmpty();
    }

    @Test
    void should_remove_the_records_of_earlier_owners_after_the_recovery() {
        // given
        List<Item> records = List.of(claim("b", "1", 9, 3, 5), claim("c", "1", 12, 5, 0), OWN);
        records.forEach(item -> store.items.put(item.key(), item));
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, TOKEN));
        owners.load(records);

        // when
        owners.recordRecovery();

        // then
        assertThat(store.items).containsOnlyKeys(StoreKeys.owner(POOL), OWN.key());
        EarlierOwners next = new EarlierOwners(
                clock, store, messenger, new NodeIdentity("d", "1", "10.0.0.1", 80, "dc", "r", 1), POOL, 30, 0);
        next.load(List.of(store.items.get(OWN.key()), claim("d", "1", 30, TOKEN, 0)));
        answer("a", false, 10);
        assertThat(next.check()).isEmpty();
        assertThat(next.check()).isNotEmpty();
    }

    @Test
    void should_keep_the_records_once_the_claim_has_been_replaced() {
        // given
        List<Item> records = List.of(claim("b", "1", 9, 3, 5), OWN);
        records.forEach(item -> store.items.put(item.key(), item));
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, TOKEN + 1));
        owners.load(records);

        // when
        owners.recordRecovery();

        // then
        assertThat(store.items.get(OWN.key())).isEqualTo(OWN);
        assertThat(store.items).hasSize(3);
    }
}
