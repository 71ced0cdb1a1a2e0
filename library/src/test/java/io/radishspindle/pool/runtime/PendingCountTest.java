package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.message.PoolMessages.PendingJobs;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a number of pending jobs that is given although it is older than 2 s, for example after a kill. */
class PendingCountTest {
    private static final String POOL = "desk";

    /** Why the owner gives no number. */
    enum Silence {
        UNREACHABLE,
        LOADS,
        NONE
    }

    private final ManualClock clock = new ManualClock();
    private final FakeMessenger messenger = new FakeMessenger();
    private final ControlView view = new ControlView(clock);
    private final FakeSharedStore store = new FakeSharedStore();
    private final JobDirectory directory = new JobDirectory(
            clock,
            store,
            new JobLocator(store, new PoolSlices(view)),
            messenger,
            view,
            new NodeIdentity("a", "1", "127.0.0.1", 1, "dc", "region", 1),
            Map.of());

    @BeforeEach
    void claimPool() {
        view.onChanged(new Item(StoreKeys.owner(POOL), Records.encode(new Records.Owner("b", "1")), 5));
    }

    private void ownerAnswers(PendingJobs reply) {
        messenger.peers.put("b", ignored -> Future.succeededFuture(Either.<Failure, PeerMessage>right(reply)));
    }

    private void silence(Silence silence) {
        switch (silence) {
            case UNREACHABLE -> messenger.peers.clear();
            case LOADS -> ownerAnswers(new PendingJobs(-1, 0));
            case NONE -> view.onChanged(new Item(StoreKeys.owner(POOL), null, 6));
        }
    }

    private Either<Failure, Integer> pending() {
        return directory.pending(POOL, "q", "h/q/").await();
    }

    private static void assertRefused(Either<Failure, Integer> answer) {
        assertThat(answer.isLeft()).isTrue();
        assertThat(answer.getLeft().retryAfterMs()).isPositive();
    }

    @ParameterizedTest
    @EnumSource(Silence.class)
    void should_give_the_last_number_for_no_longer_than_2_s(Silence silence) {
        // given
        ownerAnswers(new PendingJobs(3, 0));
        assertThat(pending().get()).isEqualTo(3);
        silence(silence);

        // then
        clock.nowMs += 1_900;
        assertThat(pending().get()).isEqualTo(3);
        clock.nowMs += 200;
        assertRefused(pending());
    }

    @ParameterizedTest
    @CsvSource({"0, 1900, true", "1500, 400, true", "1500, 600, false", "1900, 200, false"})
    void should_count_the_age_that_the_number_had_at_the_owner(long ageMs, long laterMs, boolean given) {
        // given
        ownerAnswers(new PendingJobs(3, ageMs));
        assertThat(pending().get()).isEqualTo(3);

        // when
        silence(Silence.UNREACHABLE);
        clock.nowMs += laterMs;

        // then
        assertThat(pending().isRight()).isEqualTo(given);
    }

    @ParameterizedTest
    @ValueSource(longs = {2_100, -1, Long.MAX_VALUE, Long.MIN_VALUE})
    void should_refuse_a_number_that_is_too_old_at_the_owner_or_has_no_possible_age(long ageMs) {
        ownerAnswers(new PendingJobs(3, ageMs));

        assertRefused(pending());
    }

    @Test
    void should_refuse_a_number_that_got_too_old_on_its_way() {
        // given
        Promise<Either<Failure, PeerMessage>> reply = Promise.promise();
        messenger.peers.put("b", ignored -> reply.future());

        // when
        Future<Either<Failure, Integer>> answer = directory.pending(POOL, "q", "h/q/");
        clock.nowMs += 400;
        reply.complete(Either.right(new PendingJobs(3, 1_700)));

        // then
        assertRefused(answer.await());
    }
}
