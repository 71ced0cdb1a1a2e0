package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.protocol.message.PoolMessages.AdviceGiven;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against calls for advice that queue at one VM, and against a loop of calls through a VM that is away. */
class AdviceDispatcherTest {
    private final ManualClock clock = new ManualClock();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ControlView view = new ControlView(clock);
    private final Promise<Either<Failure, AdviceService.Advice>> own = Promise.promise();
    private AdviceDispatcher dispatcher;

    @BeforeEach
    void createDispatcher() {
        for (String vm : List.of("a", "b", "c")) {
            Records.Member member = new Records.Member("10.0.0.1", 80, "dc", "r", "1", 1);
            view.changed(new SharedStore.Item(StoreKeys.member(vm), Records.encode(member), 1));
        }
        NodeIdentity self = new NodeIdentity("a", "1", "10.0.0.1", 80, "dc", "r", 1);
        dispatcher = new AdviceDispatcher(clock, (step, workers, timeoutMs) -> own.future(), messenger, self, view);
    }

    private Future<Either<Failure, AdviceService.Advice>> ask() {
        return dispatcher.advise("j.0.0", List.of("w"), 100);
    }

    @Test
    void should_use_each_vm_for_one_call_at_a_time() {
        // given
        Promise<Either<Failure, AdviceGiven>> pending = Promise.promise();
        messenger.peers.put("b", message -> pending.future());
        messenger.peers.put("c", message -> pending.future());

        // when
        ask();
        ask();
        ask();

        // then
        assertThat(messenger.asked).containsExactlyInAnyOrder("b", "c");
        assertThat(dispatcher.idleChannels()).isZero();
    }

    @Test
    void should_pass_over_a_vm_whose_call_has_failed_until_a_second_has_gone() {
        // given
        Failure failure = Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", "b", "not connected", 100);
        messenger.peers.put("b", message -> Future.succeededFuture(Either.left(failure)));
        messenger.peers.put("c", message -> Future.succeededFuture(Either.right(new AdviceGiven(Map.of(), 2_000))));

        // when
        for (int i = 0; i < 20; i++) {
            ask();
        }

        // then
        assertThat(messenger.asked.stream().filter("b"::equals)).hasSize(1);
        clock.nowMs += 1_001;
        assertThat(dispatcher.idleChannels()).isEqualTo(3);
    }
}
