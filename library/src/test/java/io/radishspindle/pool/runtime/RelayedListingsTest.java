package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import io.radishspindle.protocol.message.PoolMessages.RelayStoreReply;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against large listings through peers that are given up and begun again without end. */
class RelayedListingsTest {
    private final FakeSharedStore direct = new FakeSharedStore();
    private final FakeSharedStore shared = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ManualClock clock = new ManualClock();
    private final RelayedStore store = new RelayedStore(clock, direct, messenger, () -> List.of("b"));
    private final RelayedStore peer = new RelayedStore(clock, shared, messenger, List::of);

    @BeforeEach
    void rejectThisVm() {
        direct.fault = Fault.REJECT;
        store.get("k").await();
        clock.nowMs += 100;
    }

    private static RelayStore listing(String prefix) {
        return new RelayStore("list", prefix, 0, Map.of(), List.of(), List.of());
    }

    private List<Long> timeoutsMs(int listings) {
        List<Long> timeoutsMs = new ArrayList<>();
        for (int i = 0; i < listings; i++) {
            store.list("k").await();
            timeoutsMs.add(messenger.lastTimeoutMs);
        }
        return timeoutsMs;
    }

    @Test
    void should_allow_a_listing_more_time_after_each_one_without_a_reply() {
        // given
        messenger.peers.put(
                "b",
                message ->
                        Future.succeededFuture(Either.left(Failure.outcomeUnknown("peer.request", "b", "no reply"))));

        // when
        List<Long> timeoutsMs = timeoutsMs(4);
        store.list("other").await();
        long otherTimeoutMs = messenger.lastTimeoutMs;
        store.get("k").await();

        // then
        assertThat(timeoutsMs).containsExactly(1_300L, 2_600L, 5_200L, 5_200L);
        assertThat(otherTimeoutMs).isEqualTo(1_300);
        assertThat(messenger.lastTimeoutMs).isEqualTo(1_300);
    }

    @Test
    void should_allow_the_usual_time_again_after_a_reply() {
        // given
        messenger.peers.put(
                "b",
                message ->
                        Future.succeededFuture(Either.left(Failure.outcomeUnknown("peer.request", "b", "no reply"))));
        timeoutsMs(2);
        messenger.peers.put("b", message -> peer.serve((RelayStore) message));

        // then
        assertThat(timeoutsMs(2)).containsExactly(5_200L, 1_300L);
    }

    @Test
    void should_read_once_for_all_vms_that_ask_during_a_read() {
        // given
        shared.hangs = true;
        Future<Either<Failure, RelayStoreReply>> first = peer.serve(listing("k"));
        shared.hangs = false;
        Future<Either<Failure, RelayStoreReply>> second = peer.serve(listing("k"));
        Future<Either<Failure, RelayStoreReply>> third = peer.serve(listing("k"));
        Future<Either<Failure, RelayStoreReply>> other = peer.serve(listing("other"));
        int callsBefore = shared.calls;
        assertThat(other.isComplete()).isTrue();
        assertThat(second.isComplete()).isFalse();

        // when
        shared.items.put("k", new Item("k", new byte[] {1}, 11));
        shared.hanging.forEach(Runnable::run);

        // then
        assertThat(first.result().getLeft().code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(second.result().get().items()).hasSize(1);
        assertThat(third.result()).isEqualTo(second.result());
        assertThat(shared.calls).isEqualTo(callsBefore + 1);
    }

    @Test
    void should_begin_a_read_of_its_own_for_each_call_after_the_last_read_has_ended() {
        // given
        JoinedReads<Integer> reads = new JoinedReads<>();
        Promise<Integer> slow = Promise.promise();
        Future<Integer> first = reads.read("k", slow::future);
        Future<Integer> second = reads.read("k", () -> Future.succeededFuture(2));

        // when
        slow.complete(1);

        // then
        assertThat(first.result()).isEqualTo(1);
        assertThat(second.result()).isEqualTo(2);
        assertThat(reads.read("k", () -> Future.succeededFuture(3)).result()).isEqualTo(3);
    }
}
