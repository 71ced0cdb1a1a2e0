package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against every VM of a region reading a large configuration over the link between regions, against VMs that get
 * no configuration, and against an old one that counts as new.
 */
class ConfigRelayTest {
    private static final String KEY = "op/config";

    private final SimulatedTime time = new SimulatedTime();
    private final FakeSharedStore store = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ControlView view = new ControlView(time);

    @BeforeEach
    void createFleet() {
        time.runUntil(10_000);
        store.items.put(KEY, new Item(KEY, new byte[] {1}, 7));
        view.onListed(List.of());
        addRegion("one", 8);
        addRegion("two", 7);
    }

    /** VMs 0 and 1 of a region are the strongest, and are in the same data centre. */
    private void addRegion(String region, int vms) {
        for (int i = 0; i < vms; i++) {
            Records.Member member =
                    new Records.Member("10.0.0.1", 80, region + (i < 2 ? "-a" : "-b"), region, "1", vms - i, false);
            view.onChanged(new Item(StoreKeys.member(region + "-" + i), Records.encode(member), 1));
        }
    }

    private ConfigRelay relay(String vm) {
        String region = vm.substring(0, vm.indexOf('-'));
        NodeIdentity self = new NodeIdentity(vm, "1", "10.0.0.1", 80, region + "-a", region, 1);
        return new ConfigRelay(
                time.vertx(), time, store, messenger, view, self, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }

    /** A relay that answers the others, and has read the store. */
    private ConfigRelay reader(String vm) {
        ConfigRelay relay = relay(vm);
        messenger.peers.put(vm, message -> relay.serve((QueryConfig) message));
        relay.list(KEY);
        return relay;
    }

    private Either<Failure, Listing> resolve(Future<Either<Failure, Listing>> result, long withinMs) {
        time.runUntil(time.nowMs() + withinMs);
        return result.result();
    }

    private ConfigReply reply(Future<Either<Failure, PeerMessage>> answer) {
        return (ConfigReply) answer.result().get();
    }

    /** A configuration of hundreds of kilobytes has to reach a region of many VMs over a slow link. */
    @ParameterizedTest
    @CsvSource({"one, 8", "two, 7"})
    void should_read_the_store_for_two_vms_of_a_region_only(String region, int vms) {
        // given
        reader(region + "-0");
        reader(region + "-2");

        // when
        List<Listing> listings = new ArrayList<>();
        for (int i = 0; i < vms; i++) {
            if (i != 0 && i != 2) {
                listings.add(resolve(relay(region + "-" + i).list(KEY), 0).get());
            }
        }

        // then
        assertThat(listings).hasSize(vms - 2);
        assertThat(listings).allSatisfy(listing -> {
            assertThat(listing.items()).hasSize(1);
            assertThat(listing.items().get(0).value()).containsExactly(1);
            assertThat(listing.items().get(0).revision()).isEqualTo(7);
        });
        assertThat(store.calls).isEqualTo(2);
    }

    @Test
    void should_read_the_store_directly_in_a_small_region() {
        // given
        addRegion("small", 5);

        // when the VM has waited for others that start with it
        Either<Failure, Listing> read = resolve(relay("small-4").list(KEY), 300);

        // then
        assertThat(read.get().items()).hasSize(1);
        assertThat(messenger.requestedVms).isEmpty();
        assertThat(store.calls).isEqualTo(1);
    }

    /** Guards against a transfer of a value that the VM has, by each listing of a quiet watch. */
    @ParameterizedTest
    @CsvSource({"one-0", "one-5"})
    void should_not_transfer_an_unchanged_value_again(String vm) {
        // given
        reader("one-0");
        reader("one-2");
        ConfigRelay relay = relay(vm);
        resolve(relay.list(KEY), 100);
        long knownAtMs = relay.knownAtMs();
        time.runUntil(time.nowMs() + 500);

        // when
        Either<Failure, Listing> again = resolve(relay.list(KEY), 1_800);

        // then
        assertThat(again.get().items()).isEmpty();
        assertThat(relay.knownAtMs()).isGreaterThanOrEqualTo(knownAtMs);
    }

    @Test
    void should_ask_the_second_reader_and_later_reads_at_once_when_the_first_hangs() {
        // given
        reader("one-2");
        messenger.peers.put("one-0", message -> {
            Promise<Either<Failure, PeerMessage>> promise = Promise.promise();
            time.after(
                    messenger.lastTimeoutMs,
                    () -> promise.complete(Either.left(Failure.outcomeUnknown("peer.request", "one-0", "no reply"))));
            return promise.future();
        });
        ConfigRelay relay = relay("one-4");

        // when
        Either<Failure, Listing> first = resolve(relay.list(KEY), 1_300);
        store.items.put(KEY, new Item(KEY, new byte[] {2}, 12));
        reader("one-2");
        Either<Failure, Listing> second = resolve(relay.watch(KEY, 7, 1_500), 1_000);

        // then
        assertThat(first.get().items()).hasSize(1);
        assertThat(second.get().revision()).isEqualTo(12);
    }

    /** After a loss of power the strongest VMs may start last, and a connection to them hangs for a second. */
    @Test
    void should_not_wait_for_machines_that_are_down_while_it_has_no_configuration() {
        // given
        for (String vm : List.of("one-0", "one-2")) {
            messenger.peers.put(vm, message -> {
                Promise<Either<Failure, PeerMessage>> promise = Promise.promise();
                Failure failure = Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", vm, "no reply", 1);
                time.after(messenger.lastTimeoutMs, () -> promise.complete(Either.left(failure)));
                return promise.future();
            });
        }
        List<ConfigRelay> substitutes = List.of(relay("one-1"), relay("one-3"));
        messenger.peers.put("one-1", message -> substitutes.get(0).serve((QueryConfig) message));
        messenger.peers.put("one-3", message -> substitutes.get(1).serve((QueryConfig) message));

        // when
        substitutes.forEach(relay -> relay.list(KEY));
        Either<Failure, Listing> read = resolve(relay("one-4").list(KEY), 700);

        // then
        assertThat(read.get().items()).hasSize(1);
        assertThat(store.calls).isEqualTo(2);
    }

    /** When both readers are lost, the reads of all VMs at once would outlast their time limit. */
    @Test
    void should_let_the_next_two_vms_read_when_both_readers_are_unreachable() {
        // given one-1 and one-3 are the strongest beside the readers, in two data centres
        List<ConfigRelay> relays = new ArrayList<>();
        for (int i : new int[] {1, 3, 4, 5, 6, 7}) {
            ConfigRelay relay = relay("one-" + i);
            messenger.peers.put("one-" + i, message -> relay.serve((QueryConfig) message));
            relays.add(relay);
        }

        // when
        List<Future<Either<Failure, Listing>>> reads =
                relays.stream().map(relay -> relay.list(KEY)).toList();
        time.runUntil(time.nowMs() + 1_500);

        // then
        assertThat(reads)
                .allSatisfy(read -> assertThat(read.result().get().items()).hasSize(1));
        assertThat(store.calls).isEqualTo(2);
    }

    /** After an outage of the store, the reads of all VMs at once would delay each other. */
    @Test
    void should_not_read_the_store_directly_while_readers_answer_that_it_is_unavailable() {
        // given
        store.fault = FakeSharedStore.Fault.REJECT;
        reader("one-0");
        reader("one-2");
        int calls = store.calls;
        ConfigRelay relay = relay("one-6");

        // when
        for (int i = 0; i < 2; i++) {
            assertThat(resolve(relay.list(KEY), 2_000).isLeft()).isTrue();
        }

        // then
        assertThat(store.calls).isEqualTo(calls);
        store.fault = FakeSharedStore.Fault.NONE;
        reader("one-0");
        assertThat(resolve(relay.list(KEY), 2_000).get().items()).hasSize(1);
    }

    /** A VM whose readers answer nothing useful for long must not be left without a configuration. */
    @Test
    void should_read_the_store_directly_in_the_end() {
        // given readers that reply without knowledge, for ever
        for (int i = 0; i < 8; i++) {
            messenger.peers.put(
                    "one-" + i,
                    message -> Future.succeededFuture(Either.left(Failure.retryable(
                            ErrorCode.STORE_UNAVAILABLE, "config.read", "vm", "nothing known", 100))));
        }
        ConfigRelay relay = relay("one-6");

        // when
        long beganAtMs = time.nowMs();
        while (store.calls == 0 && time.nowMs() - beganAtMs < 20_000) {
            resolve(relay.list(KEY), 1_000);
        }

        // then
        assertThat(store.calls).isEqualTo(1);
        assertThat(time.nowMs() - beganAtMs).isBetween(7_000L, 12_000L);
    }

    /** Guards against API keys that stay valid because VMs confirm an old configuration to each other. */
    @Test
    void should_never_make_knowledge_younger_by_passing_it_on() {
        // given a chain of VMs, of which only the first has read the store
        ConfigRelay first = reader("one-0");
        reader("one-2");
        long readAtMs = time.nowMs();
        store.fault = FakeSharedStore.Fault.REJECT;
        List<ConfigRelay> chain = new ArrayList<>(List.of(first));
        for (int i = 3; i < 8; i++) {
            ConfigRelay previous = chain.get(chain.size() - 1);
            messenger.peers.put("one-0", message -> previous.serve((QueryConfig) message));
            messenger.peers.put("one-2", message -> previous.serve((QueryConfig) message));
            time.runUntil(time.nowMs() + 300);
            ConfigRelay next = relay("one-" + i);
            assertThat(resolve(next.list(KEY), 5).isRight()).isTrue();
            chain.add(next);
        }

        // then
        assertThat(chain).allSatisfy(relay -> assertThat(relay.knownAtMs()).isLessThanOrEqualTo(readAtMs));
        assertThat(chain).allMatch(ConfigRelay::isFresh);
        time.runUntil(readAtMs + 3_200);
        assertThat(chain).noneMatch(ConfigRelay::isFresh);
    }

    /** A reader that hangs after it has read may reply seconds later; its knowledge is as old as its read. */
    @Test
    void should_count_the_age_from_the_query_when_the_reply_is_late() {
        // given
        ConfigRelay reader = reader("one-0");
        messenger.peers.put("one-0", message -> {
            Future<Either<Failure, PeerMessage>> answer = reader.serve((QueryConfig) message);
            Promise<Either<Failure, PeerMessage>> late = Promise.promise();
            time.after(1_000, () -> answer.onComplete(late));
            return late.future();
        });
        messenger.peers.put("one-2", messenger.peers.get("one-0"));
        long readAtMs = reader.knownAtMs();
        ConfigRelay relay = relay("one-5");

        // when
        resolve(relay.list(KEY), 2_000);

        // then
        assertThat(relay.knownAtMs()).isEqualTo(readAtMs);
    }

    @Test
    void should_answer_as_soon_as_there_is_a_newer_configuration() {
        // given
        ConfigRelay reader = reader("one-0");
        time.runUntil(time.nowMs() + 10);
        Future<Either<Failure, PeerMessage>> answer = reader.serve(new QueryConfig(7, 5_000, 0L));
        assertThat(answer.isComplete()).isFalse();

        // when
        store.items.put(KEY, new Item(KEY, new byte[] {2}, 12));
        resolve(reader.watch(KEY, 7, 1_500), 1_000);

        // then
        assertThat(reply(answer).revision()).isEqualTo(12);
        assertThat(CompressedConfig.inflate(reply(answer).value())).hasValue(new byte[] {2});
    }

    /** A VM that has lost time with a hanging reader must not wait for the next one as well. */
    @ParameterizedTest
    @CsvSource({"100, false", "2000, true"})
    void should_confirm_at_once_what_is_news_to_the_asking_vm(long knownAgeMs, boolean atOnce) {
        ConfigRelay reader = reader("one-0");
        time.runUntil(time.nowMs() + 50);

        Future<Either<Failure, PeerMessage>> answer = reader.serve(new QueryConfig(7, 700, knownAgeMs));

        assertThat(answer.isComplete()).isEqualTo(atOnce);
        time.runUntil(time.nowMs() + 700);
        assertThat(reply(answer).knownAfterMs()).isEqualTo(-50);
        assertThat(reply(answer).value()).isEmpty();
    }

    /** Guards against API keys that stay valid because a reader that lost the store confirms an old configuration. */
    @Test
    void should_not_confirm_that_nothing_has_changed_when_the_store_was_lost_long_ago() {
        // given
        ConfigRelay reader = reader("one-0");
        time.runUntil(time.nowMs() + 3_000);

        // when
        Future<Either<Failure, PeerMessage>> answer = reader.serve(new QueryConfig(7, 700, 3_000L));
        time.runUntil(time.nowMs() + 700);

        // then
        assertThat(answer.result().isLeft()).isTrue();
    }

    /** An earlier release counts a reply as new and reads no compressed value. */
    @ParameterizedTest
    @CsvSource({"one-0, 0, true", "one-0, 1900, false", "one-5, 0, false"})
    void should_answer_an_earlier_release_as_that_does(String vm, long ageMs, boolean answered) {
        // given
        reader("one-0");
        reader("one-2");
        ConfigRelay relay = relay(vm);
        resolve(relay.list(KEY), 0);
        time.runUntil(time.nowMs() + ageMs);

        // when
        Future<Either<Failure, PeerMessage>> answer = relay.serve(new QueryConfig(3, 700, null));
        time.runUntil(time.nowMs() + 700);

        // then
        assertThat(answer.result().isRight()).isEqualTo(answered);
        if (answered) {
            assertThat(reply(answer).value()).containsExactly(1);
            assertThat(reply(answer).compressed()).isFalse();
        }
    }

    @Test
    void should_take_the_reply_of_an_earlier_release_for_as_old_as_it_may_be() {
        // given
        for (String vm : List.of("one-0", "one-2")) {
            messenger.peers.put(
                    vm,
                    message ->
                            Future.succeededFuture(Either.right(new ConfigReply(KEY, new byte[] {1}, 7, null, false))));
        }
        ConfigRelay relay = relay("one-5");

        // when
        Either<Failure, Listing> read = resolve(relay.list(KEY), 0);

        // then
        assertThat(read.get().items()).hasSize(1);
        assertThat(relay.knownAtMs()).isEqualTo(time.nowMs() - 1_800);
    }

    @Test
    void should_pass_over_a_reader_whose_reply_cannot_be_inflated() {
        // given
        reader("one-2");
        messenger.peers.put(
                "one-0",
                message ->
                        Future.succeededFuture(Either.right(new ConfigReply(KEY, new byte[] {1, 2, 3}, 9, 0L, true))));

        // when
        Either<Failure, Listing> read = resolve(relay("one-4").list(KEY), 0);

        // then
        assertThat(read.get().revision()).isEqualTo(7);
    }
}
