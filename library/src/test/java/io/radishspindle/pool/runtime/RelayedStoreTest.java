package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.TxnResult;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against outages of a VM whose calls the store rejects while it serves other VMs. */
class RelayedStoreTest {
    private final FakeSharedStore direct = new FakeSharedStore();
    private final FakeSharedStore shared = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final SystemClock clock = new SystemClock();
    private final RelayedStore store = new RelayedStore(clock, direct, messenger, () -> List.of("b", "c"));
    private final RelayedStore peer = new RelayedStore(clock, shared, messenger, List::of);

    @BeforeEach
    void connectPeers() {
        messenger.peers.put("b", message -> peer.serve((RelayStore) message));
        messenger.peers.put("c", message -> peer.serve((RelayStore) message));
    }

    private Either<Failure, TxnResult> write() {
        return store.transact(new Txn(Map.of("k", 0L), List.of(new Write("k", new byte[] {1}, 0)), List.of()))
                .await();
    }

    @Test
    void should_call_the_store_directly_while_it_answers() {
        assertThat(write().get().applied()).isTrue();
        assertThat(messenger.requestedVms).isEmpty();
    }

    @Test
    void should_write_through_a_peer_when_the_store_rejects_this_vm() {
        // given
        direct.fault = Fault.REJECT;

        // when
        Either<Failure, TxnResult> result = write();

        // then
        assertThat(result.get().applied()).isTrue();
        assertThat(shared.items).containsKey("k");
        assertThat(store.get("k").await().get()).isPresent();
        assertThat(store.get("absent").await().get()).isEmpty();
    }

    @Test
    void should_not_retry_a_call_with_an_unknown_outcome_through_a_peer() {
        // given
        direct.fault = Fault.LOSE_CALL;

        // when
        Either<Failure, TxnResult> result = write();

        // then
        assertThat(result.getLeft().notRun()).isFalse();
        assertThat(messenger.requestedVms).isEmpty();
    }

    @Test
    void should_return_to_the_direct_path_after_a_renewal_has_succeeded() {
        // given
        direct.fault = Fault.REJECT;
        write();
        direct.fault = Fault.NONE;

        // when
        store.renewLease(7).await();

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }

    @Test
    void should_fail_as_not_run_when_no_peer_reaches_the_store() {
        // given
        direct.fault = Fault.REJECT;
        shared.fault = Fault.REJECT;

        // when
        Either<Failure, TxnResult> result = write();

        // then
        assertThat(result.getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
        assertThat(result.getLeft().notRun()).isTrue();
        assertThat(messenger.requestedVms).hasSize(2);
    }

    /** Guards against listing all keys several times a second while the store rejects this VM. */
    @Test
    void should_watch_through_a_peer_while_the_store_rejects_this_vm() {
        // given
        direct.fault = Fault.REJECT;
        write();
        int directCalls = direct.calls;

        // when
        Either<Failure, Listing> changes = store.watch("k", 0, 1_500).await();
        Either<Failure, Listing> none =
                store.watch("k", changes.get().revision(), 1_500).await();

        // then
        assertThat(changes.get().items()).hasSize(1);
        assertThat(none.get().items()).isEmpty();
        assertThat(direct.calls).isEqualTo(directCalls);
    }
}
