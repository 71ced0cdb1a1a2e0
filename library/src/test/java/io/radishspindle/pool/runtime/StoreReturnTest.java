package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.NullSource;

/**
 * The store is unavailable for some seconds while callers keep submitting. Guards against rejections after it has
 * recovered: callers give up within 3 s of their first attempt.
 */
class StoreReturnTest {
    private static final long UNANSWERED_MS = 700;
    private static final long PROBE_INTERVAL_MS = 150;

    private final ManualClock clock = new ManualClock();
    private final FakeSharedStore direct = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final RelayedStore store = new RelayedStore(clock, direct, messenger, () -> List.of("b", "c"));

    @BeforeEach
    void connectPeersWithoutStore() {
        FakeSharedStore unavailable = new FakeSharedStore();
        unavailable.fault = Fault.REJECT;
        RelayedStore peer = new RelayedStore(clock, unavailable, messenger, List::of);
        messenger.peers.put("b", message -> peer.serve((RelayStore) message));
        messenger.peers.put("c", message -> peer.serve((RelayStore) message));
    }

    private void write() {
        store.transact(new Txn(Map.of("k", 0L), List.of(new Write("k", new byte[] {1}, 0)), List.of()));
    }

    /** Makes the store unavailable; a null fault makes its calls hang. */
    private void failStore(@Nullable Fault fault) {
        direct.hangs = fault == null;
        direct.fault = fault == null ? Fault.NONE : fault;
        write();
        clock.nowMs += UNANSWERED_MS;
        assertThat(store.isDirectPathDown()).isTrue();
    }

    @ParameterizedTest
    @NullSource
    @EnumSource(names = {"REJECT", "LOSE_CALL"})
    void should_use_the_direct_path_soon_after_the_store_has_recovered(@Nullable Fault fault) {
        // given
        failStore(fault);
        store.tick();
        assertThat(store.isDirectPathDown()).isTrue();

        // when
        direct.hangs = false;
        direct.fault = Fault.NONE;
        clock.nowMs += PROBE_INTERVAL_MS;
        store.tick();

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }

    @Test
    void should_limit_the_probes_during_an_outage() {
        // given
        failStore(Fault.REJECT);
        int before = direct.calls;

        // when
        for (int ms = 0; ms < 1_500; ms += 50) {
            clock.nowMs += 50;
            store.tick();
        }

        // then
        assertThat(direct.calls - before).isEqualTo(10);
    }

    @Test
    void should_not_probe_while_the_store_answers() {
        // given
        write();
        int before = direct.calls;

        // when
        clock.nowMs += PROBE_INTERVAL_MS;
        store.tick();

        // then
        assertThat(direct.calls).isEqualTo(before);
    }

    /** Calls made during an outage fail up to 2 s after the store has recovered. */
    @Test
    void should_ignore_the_failure_of_a_call_that_was_sent_before_the_recovery() {
        // given
        failStore(null);
        direct.hangs = false;
        direct.fault = Fault.NONE;
        clock.nowMs += PROBE_INTERVAL_MS;
        store.tick();

        // when
        clock.nowMs += PROBE_INTERVAL_MS;
        direct.hanging.forEach(Runnable::run);

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }

    /** A killed VM stays among the peers until its lease expires; each call through it takes 1.3 s to time out. */
    @Test
    void should_back_off_from_an_unresponsive_peer() {
        // given
        messenger.peers.put(
                "b",
                message ->
                        Future.succeededFuture(Either.left(Failure.outcomeUnknown("peer.request", "b", "no answer"))));
        failStore(Fault.REJECT);
        messenger.requestedVms.clear();

        // when
        write();
        write();
        write();

        // then
        assertThat(messenger.requestedVms).filteredOn("b"::equals).hasSizeLessThanOrEqualTo(1);
        assertThat(store.get("k").await().getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
    }
}
