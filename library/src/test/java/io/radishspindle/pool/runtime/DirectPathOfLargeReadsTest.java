package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against large reads that take the direct path for lost and add to the load of a link through peers. */
class DirectPathOfLargeReadsTest {
    private static final long OVERDUE_MS = 700;

    private final FakeSharedStore direct = new FakeSharedStore();
    private final FakeSharedStore shared = new FakeSharedStore();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ManualClock clock = new ManualClock();
    private final RelayedStore store = new RelayedStore(clock, direct, messenger, () -> List.of("b"));

    @BeforeEach
    void connectPeer() {
        RelayedStore peer = new RelayedStore(clock, shared, messenger, List::of);
        messenger.peers.put("b", message -> peer.serve((RelayStore) message));
    }

    static Stream<Consumer<RelayedStore>> reads() {
        return Stream.of(store -> store.list("k"), store -> store.get("k"));
    }

    private void beginSlowly(Consumer<RelayedStore> read) {
        direct.hangs = true;
        read.accept(store);
        direct.hangs = false;
    }

    /** Lets parts of an answer arrive for {@code durationMs}. */
    private void receiveParts(long durationMs) {
        for (long passedMs = 0; passedMs < durationMs; passedMs += 100) {
            clock.nowMs += 100;
            direct.partListener.run();
        }
    }

    private void write() {
        store.transact(new Txn(Map.of(), List.of(new Write("w", new byte[] {1}, 0)), List.of()))
                .await();
    }

    @ParameterizedTest
    @MethodSource("reads")
    void should_call_the_store_directly_while_an_answer_is_arriving(Consumer<RelayedStore> read) {
        // given
        beginSlowly(read);
        receiveParts(3 * OVERDUE_MS);

        // when
        write();

        // then
        assertThat(store.isDirectPathDown()).isFalse();
        assertThat(messenger.requestedVms).isEmpty();
        assertThat(direct.items).containsKey("w");
    }

    @ParameterizedTest
    @MethodSource("reads")
    void should_stay_on_the_direct_path_after_a_read_that_is_given_up_unfinished(Consumer<RelayedStore> read) {
        // given
        beginSlowly(read);
        receiveParts(100);
        clock.nowMs += 2 * OVERDUE_MS;

        // when
        direct.hanging.forEach(Runnable::run);

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }

    @ParameterizedTest
    @MethodSource("reads")
    void should_stay_on_the_direct_path_after_a_read_that_fails_beside_successful_calls(Consumer<RelayedStore> read) {
        // given
        beginSlowly(read);
        clock.nowMs += 100;
        write();
        clock.nowMs += 2 * OVERDUE_MS;

        // when
        direct.hanging.forEach(Runnable::run);

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }

    @ParameterizedTest
    @MethodSource("reads")
    void should_leave_the_direct_path_if_no_byte_arrives(Consumer<RelayedStore> read) {
        // given
        clock.nowMs += 100;
        beginSlowly(read);

        // when
        clock.nowMs += OVERDUE_MS;

        // then
        assertThat(store.isDirectPathDown()).isTrue();
        direct.hanging.forEach(Runnable::run);
        assertThat(store.isDirectPathDown()).isTrue();
    }

    @ParameterizedTest
    @MethodSource("reads")
    void should_leave_the_direct_path_if_a_later_call_gets_no_answer_beside_a_stalled_read(
            Consumer<RelayedStore> read) {
        // given
        beginSlowly(read);
        receiveParts(100);
        clock.nowMs += 100;
        beginSlowly(later -> later.get("small"));

        // when
        clock.nowMs += OVERDUE_MS;

        // then
        assertThat(store.isDirectPathDown()).isTrue();
    }

    @Test
    void should_return_to_the_direct_path_when_a_part_arrives() {
        // given
        clock.nowMs += 100;
        beginSlowly(read -> read.list("k"));
        clock.nowMs += OVERDUE_MS;
        assertThat(store.isDirectPathDown()).isTrue();

        // when
        direct.partListener.run();

        // then
        assertThat(store.isDirectPathDown()).isFalse();
    }
}
