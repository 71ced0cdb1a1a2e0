package io.radishspindle.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.protocol.message.ConfigPull;
import io.radishspindle.protocol.message.EmptyReply;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against lost, crossed or unauthenticated messages between entry VMs. Uses loopback and generous timeouts. */
class TcpPeerMessengerTest {
    private static final long LONG_MS = 20_000;
    private static final String KEY = "0123456789abcdef";

    private final Vertx vertx = Vertx.vertx();
    private final Map<String, PeerDirectory.PeerAddress> addresses = new HashMap<>();
    private TcpPeerMessenger a;
    private TcpPeerMessenger b;

    @BeforeEach
    void start() {
        a = messenger("a", KEY);
        b = messenger("b", KEY);
    }

    @AfterEach
    void stop() {
        await(vertx.close());
    }

    private TcpPeerMessenger messenger(String id, String key) {
        TcpPeerMessenger messenger = new TcpPeerMessenger(
                vertx, new SystemClock(), id, "127.0.0.1", 0, key, vm -> Optional.ofNullable(addresses.get(vm)));
        await(messenger.start());
        addresses.put(id, new PeerDirectory.PeerAddress("127.0.0.1", messenger.port()));
        return messenger;
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    @Test
    void should_give_each_request_its_own_answer() {
        // given a handler that answers the first request last
        b.handle(ConfigPull.class, (from, pull) -> {
            ConfigDocument reply = new ConfigDocument(pull.haveRevision() + 1, from.getBytes());
            return vertx.timer(51 - pull.haveRevision(), TimeUnit.MILLISECONDS).map(ignored -> Either.right(reply));
        });

        // when
        Map<Long, Future<Either<Failure, ConfigDocument>>> replies = new HashMap<>();
        for (long i = 1; i <= 50; i++) {
            replies.put(i, a.request("b", new ConfigPull(i), ConfigDocument.class, LONG_MS));
        }

        // then
        replies.forEach((i, reply) -> {
            ConfigDocument document = await(reply).get();
            assertThat(document.revision()).isEqualTo(i + 1);
            assertThat(document.document()).isEqualTo("a".getBytes());
        });
    }

    @Test
    void should_pass_on_the_failure_of_a_remote_handler() {
        // given
        Failure failure = Failure.retryable(ErrorCode.NO_OWNER, "test", "b", "no owner", 7);
        b.handle(ConfigPull.class, (from, pull) -> Future.succeededFuture(Either.left(failure)));

        // when
        Either<Failure, ConfigDocument> reply = await(a.request("b", new ConfigPull(1), ConfigDocument.class, LONG_MS));

        // then
        assertThat(reply.getLeft()).isEqualTo(failure);
    }

    @Test
    void should_say_whether_an_unanswered_request_was_sent() {
        // given a handler that never answers
        b.handle(ConfigPull.class, (from, pull) -> Future.future(never -> {}));

        // when
        Failure sent =
                await(a.request("b", new ConfigPull(1), EmptyReply.class, 300)).getLeft();
        Failure notSent = await(a.request("unknown", new ConfigPull(1), EmptyReply.class, 300))
                .getLeft();

        // then
        assertThat(sent.notRun()).isFalse();
        assertThat(notSent.notRun()).isTrue();
        assertThat(notSent.code()).isEqualTo(ErrorCode.PEER_UNREACHABLE);
    }

    @Test
    void should_refuse_a_peer_with_another_key() {
        // given
        b.handle(ConfigPull.class, (from, pull) -> Future.succeededFuture(Either.right(new EmptyReply())));
        TcpPeerMessenger stranger = messenger("c", "another-key-of-16-characters");

        // when
        Failure failure = await(stranger.request("b", new ConfigPull(1), EmptyReply.class, LONG_MS))
                .getLeft();

        // then
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.message()).contains("does not know the shared key");
    }

    @Test
    void should_reconnect_to_a_restarted_peer() {
        // given
        b.handle(ConfigPull.class, (from, pull) -> Future.succeededFuture(Either.right(new EmptyReply())));
        assertThat(await(a.request("b", new ConfigPull(1), EmptyReply.class, LONG_MS))
                        .isRight())
                .isTrue();
        await(b.close());

        // when
        TcpPeerMessenger restarted = messenger("b", KEY);
        restarted.handle(ConfigPull.class, (from, pull) -> Future.succeededFuture(Either.right(new EmptyReply())));
        Either<Failure, EmptyReply> reply = Either.left(Failure.outcomeUnknown("", "", ""));
        for (int i = 0; i < 100 && reply.isLeft(); i++) {
            reply = await(a.request("b", new ConfigPull(1), EmptyReply.class, LONG_MS));
            await(vertx.timer(100, TimeUnit.MILLISECONDS));
        }

        // then
        assertThat(reply.isRight()).isTrue();
    }

    @Test
    void should_refuse_a_message_that_exceeds_the_frame_size() {
        // given
        ConfigDocument huge = new ConfigDocument(1, new byte[PeerCodec.MAX_FRAME_BYTES]);

        // when
        Failure failure = await(a.request("b", huge, EmptyReply.class, LONG_MS)).getLeft();

        // then
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.message()).contains("too large for a frame");
    }

    @Test
    void should_refuse_requests_beyond_the_bound_of_outstanding_ones() {
        // given a connected peer that never answers
        b.handle(ConfigPull.class, (from, pull) -> Future.future(never -> {}));
        assertThat(await(a.request("b", new ConfigPull(0), EmptyReply.class, 2_000))
                        .getLeft()
                        .notRun())
                .isFalse();

        // when
        List<Future<Either<Failure, EmptyReply>>> replies = new ArrayList<>();
        for (int i = 0; i <= PeerLink.MAX_OUTSTANDING; i++) {
            replies.add(a.request("b", new ConfigPull(i), EmptyReply.class, 3_000));
        }

        // then only the last one is refused, and it certainly did not run
        Failure refusal = await(replies.get(PeerLink.MAX_OUTSTANDING)).getLeft();
        assertThat(refusal.code()).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(refusal.notRun()).isTrue();
        assertThat(await(replies.get(0)).getLeft().code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }
}
