package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.core.AdviceChannels;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.protocol.message.PoolMessages.AdviceReply;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against advice calls that queue at one VM, and against repeated calls through an unreachable VM. */
class AdviceDispatcherTest {
    private final ManualClock clock = new ManualClock();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ControlView view = new ControlView(clock);
    private final Promise<Either<Failure, AdviceService.Advice>> localAdvice = Promise.promise();
    private List<String> pools = List.of("first");
    private AdviceDispatcher dispatcher;

    @BeforeEach
    void createDispatcher() {
        addVms("a", "b", "c");
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        AdviceChannel local = new AdviceChannel(clock, (step, workers, timeoutMs) -> localAdvice.future());
        dispatcher = new AdviceDispatcher(clock, local, messenger, self, view, () -> pools);
    }

    private Future<Either<Failure, AdviceService.Advice>> advise() {
        return advise("first", 20);
    }

    private Future<Either<Failure, AdviceService.Advice>> advise(String pool, long expectedMs) {
        return dispatcher.advise(pool, "j.0.0", List.of("w"), expectedMs);
    }

    private void addVms(String... names) {
        for (String vm : names) {
            Records.Member member = new Records.Member("10.0.0.1", 80, "dc", "r", "1", 1, false);
            view.onChanged(new SharedStore.Item(StoreKeys.member(vm), Records.encode(member), 1));
            messenger.peers.put(vm, message -> Promise.<Either<Failure, AdviceReply>>promise()
                    .future());
        }
    }

    @Test
    void should_use_each_vm_for_one_call_at_a_time() {
        // given
        Promise<Either<Failure, AdviceReply>> pending = Promise.promise();
        messenger.peers.put("b", message -> pending.future());
        messenger.peers.put("c", message -> pending.future());

        // when
        advise();
        advise();
        advise();

        // then
        assertThat(messenger.requestedVms).containsExactlyInAnyOrder("b", "c");
        assertThat(dispatcher.idleChannels("first")).isZero();
    }

    @Test
    void should_back_off_for_a_second_from_a_vm_whose_call_has_failed() {
        // given
        Failure failure = Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", "b", "not connected", 100);
        messenger.peers.put("b", message -> Future.succeededFuture(Either.left(failure)));
        messenger.peers.put("c", message -> Future.succeededFuture(Either.right(new AdviceReply(Map.of(), 2_000))));

        // when
        for (int i = 0; i < 20; i++) {
            advise();
        }

        // then
        assertThat(messenger.requestedVms.stream().filter("b"::equals)).hasSize(1);
        clock.nowMs += 1_001;
        assertThat(dispatcher.idleChannels("first")).isEqualTo(3);
    }

    /** Calls that fail later than the back-off ends went to the same two VMs in turn, although others answered. */
    @Test
    void should_prefer_vms_that_answer_to_those_that_have_failed() {
        // given
        addVms("d");
        Failure failure = Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", "b", "no reply", 100);
        for (String vm : List.of("b", "c")) {
            messenger.peers.put(vm, message -> {
                clock.nowMs += 2_000;
                return Future.succeededFuture(Either.left(failure));
            });
        }
        messenger.peers.put("d", message -> Future.succeededFuture(Either.right(new AdviceReply(Map.of(), 2_000))));

        // when
        for (int i = 0; i < 5; i++) {
            advise();
            clock.nowMs += 10;
        }

        // then
        assertThat(messenger.requestedVms).containsExactly("b", "c", "d", "d", "d");
    }

    @Test
    void should_retry_through_another_vm_at_once_when_one_is_busy_with_a_call_of_another_pool() {
        // given
        Failure busy = Failure.retryable(ErrorCode.OVERLOADED, "advice.call", "", "in progress", 400);
        messenger.peers.put("b", message -> Future.succeededFuture(Either.left(busy)));
        messenger.peers.put("c", message -> Future.succeededFuture(Either.right(new AdviceReply(Map.of(), 2_000))));

        // when
        Future<Either<Failure, AdviceService.Advice>> answer = advise();
        advise();

        // then
        assertThat(answer.result().isRight()).isTrue();
        assertThat(messenger.requestedVms).containsExactly("b", "c", "c");
    }

    /** Guards against short calls that wait 0.6 s behind the long calls of another pool, which occurred under load. */
    @Test
    void should_leave_half_of_the_vms_of_other_pools_to_their_short_calls() {
        // given
        addVms("d", "e", "f", "g", "h");
        pools = List.of("first", "second");

        // when
        for (int i = 0; i < 8; i++) {
            advise("first", 640);
        }

        // then
        assertThat(messenger.requestedVms).containsExactlyInAnyOrder("c", "e", "g", "b", "d");
    }

    @Test
    void should_reserve_a_vm_for_short_calls_while_the_pool_makes_them() {
        // given
        addVms("d");
        messenger.peers.put("b", message -> Future.succeededFuture(Either.right(new AdviceReply(Map.of(), 2_000))));
        advise("first", 20);
        addVms("b");

        // when
        for (int i = 0; i < 8; i++) {
            advise("first", 640);
        }

        // then
        AdviceChannels left = dispatcher.channels("first");
        assertThat(left.tryAcquire(640)).isFalse();
        assertThat(left.tryAcquire(20)).isTrue();
    }
}
