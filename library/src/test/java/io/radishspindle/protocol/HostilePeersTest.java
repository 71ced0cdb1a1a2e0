package io.radishspindle.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.radishspindle.error.Failure;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.protocol.message.ConfigPull;
import io.radishspindle.protocol.message.EmptyReply;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against connections that violate the protocol and take a VM down or disturb its other peers: each such
 * connection must be closed while an authenticated peer is still served.
 */
class HostilePeersTest {
    private static final String KEY = "0123456789abcdef";
    private static final long LONG_MS = 20_000;

    private final Vertx vertx = Vertx.vertx();
    private final NetClient client = vertx.createNetClient();
    private TcpPeerMessenger target;
    private TcpPeerMessenger healthyPeer;

    @BeforeEach
    void start() {
        target = new TcpPeerMessenger(vertx, new SystemClock(), "target", "127.0.0.1", 0, KEY, vm -> Optional.empty());
        target.handle(ConfigPull.class, (from, pull) -> Future.succeededFuture(Either.right(new EmptyReply())));
        await(target.start());
        healthyPeer = new TcpPeerMessenger(
                vertx,
                new SystemClock(),
                "friend",
                "127.0.0.1",
                0,
                KEY,
                vm -> Optional.of(new PeerDirectory.PeerAddress("127.0.0.1", target.port())));
        await(healthyPeer.start());
        assertThat(healthyPeerIsServed()).isTrue();
    }

    @AfterEach
    void stop() {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    private boolean healthyPeerIsServed() {
        Either<Failure, EmptyReply> reply =
                await(healthyPeer.request("target", new ConfigPull(1), EmptyReply.class, LONG_MS));
        return reply.isRight();
    }

    /**
     * Opens a connection and sends the bytes; completes with what was received once the connection is closed. It is
     * opened on its own event loop, so that its reader is attached before the first frame of the target can arrive.
     */
    private CompletableFuture<Buffer> attack(Buffer bytes) {
        CompletableFuture<Buffer> closed = new CompletableFuture<>();
        vertx.runOnContext(ignored ->
                client.connect(target.port(), "127.0.0.1").onSuccess(socket -> attack(socket, bytes, closed)));
        return closed.orTimeout(30, TimeUnit.SECONDS);
    }

    private static void attack(NetSocket socket, Buffer bytes, CompletableFuture<Buffer> closed) {
        Buffer received = Buffer.buffer();
        socket.handler(received::appendBuffer);
        socket.exceptionHandler(e -> {});
        socket.closeHandler(ignored -> closed.complete(received));
        socket.write(bytes);
    }

    private static Buffer frame(Object content) {
        byte[] bytes = PeerCodec.encode(content);
        return Buffer.buffer().appendInt(bytes.length).appendBytes(bytes);
    }

    private static Buffer invalidBytes(String kind) {
        byte[] nonce = new byte[PeerAuthenticator.NONCE_BYTES];
        return switch (kind) {
            case "oversized" -> Buffer.buffer().appendInt(Integer.MAX_VALUE);
            case "oversized-before-handshake" -> Buffer.buffer().appendInt(PeerCodec.MAX_HANDSHAKE_BYTES + 1);
            case "negative-length" -> Buffer.buffer().appendInt(-1);
            case "empty" -> Buffer.buffer().appendInt(0);
            case "http" -> Buffer.buffer("GET / HTTP/1.1\r\nHost: target\r\n\r\n");
            case "newer-version" -> frame(new Frame(Frame.VERSION + 1, Frame.PROOF, new byte[0]));
            case "message-before-handshake" -> PeerCodec.encodeMessage(1, new ConfigPull(1));
            case "hello-from-client" -> PeerCodec.encodeFrame(Frame.HELLO, new Frame.Hello("evil", nonce));
            case "wrong-code" -> PeerCodec.encodeFrame(Frame.PROOF, new Frame.Proof("evil", nonce, new byte[32]));
            case "short-nonce" ->
                PeerCodec.encodeFrame(Frame.PROOF, new Frame.Proof("evil", new byte[1], new byte[32]));
            case "null-fields" -> PeerCodec.encodeFrame(Frame.PROOF, List.of());
            case "own-name" -> PeerCodec.encodeFrame(Frame.PROOF, new Frame.Proof("target", nonce, new byte[32]));
            default -> throw new IllegalArgumentException(kind);
        };
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "oversized",
                "oversized-before-handshake",
                "negative-length",
                "empty",
                "http",
                "newer-version",
                "message-before-handshake",
                "hello-from-client",
                "wrong-code",
                "short-nonce",
                "null-fields",
                "own-name"
            })
    void should_close_a_connection_that_violates_the_protocol(String kind) {
        // given, when
        Buffer received = attack(invalidBytes(kind)).join();

        // then the reason is sent before the connection is closed
        assertThat(received.toString()).contains("peer.connect");
        assertThat(healthyPeerIsServed()).isTrue();
    }

    @Test
    void should_close_a_connection_that_stops_in_the_middle_of_a_frame() {
        // given, when
        Buffer received =
                attack(Buffer.buffer().appendInt(100).appendByte((byte) 1)).join();

        // then only the hello frame was sent
        assertThat(received.length()).isPositive();
        assertThat(healthyPeerIsServed()).isTrue();
    }

    /** Guards against an OutOfMemoryError caused by five bytes of an unauthenticated peer. */
    @ParameterizedTest
    @ValueSource(ints = {0xc6, 0xc9, 0xdb, 0xdd, 0xdf})
    void should_reject_a_length_beyond_the_end_of_the_frame(int type) {
        // given the header of a binary, extension, string, array or map of 2 GiB
        byte[] header = Buffer.buffer()
                .appendByte((byte) type)
                .appendInt(Integer.MAX_VALUE - 8)
                .getBytes();

        // when, then
        assertThatThrownBy(() -> PeerCodec.decode(header, Frame.class)).isInstanceOf(ProtocolException.class);
    }

    static Stream<Class<?>> messageTypes() {
        return MessageTypes.BY_CODE.values().stream().map(type -> type);
    }

    /** Guards against a StackOverflowError on a thread with a small stack. */
    @ParameterizedTest
    @MethodSource("messageTypes")
    void should_decode_or_reject_deeply_nested_messages(Class<?> type) throws Exception {
        // given arrays and maps of one element each, inside each other
        int depth = PeerCodec.MAX_FRAME_BYTES / 2;
        byte[] arrays = new byte[depth];
        byte[] maps = new byte[2 * depth];
        Arrays.fill(arrays, (byte) 0x91);
        Arrays.fill(maps, (byte) 0x81);
        arrays[depth - 1] = 1;
        maps[2 * depth - 1] = 1;

        // when
        FutureTask<Boolean> decoded =
                new FutureTask<>(() -> isDecodedOrRejected(arrays, type) && isDecodedOrRejected(maps, type));
        new Thread(null, decoded, "decoder", 256 * 1024).start();

        // then a message without fields skips what it doesn't know
        assertThat(decoded.get(LONG_MS, TimeUnit.MILLISECONDS)).isTrue();
    }

    private static boolean isDecodedOrRejected(byte[] bytes, Class<?> type) {
        try {
            return type.isInstance(PeerCodec.decode(bytes, type));
        } catch (ProtocolException e) {
            return true;
        }
    }

    @Test
    void should_survive_random_bytes() {
        // given
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(7);
        List<CompletableFuture<Buffer>> attacks = new ArrayList<>();

        // when
        for (int i = 0; i < 300; i++) {
            byte[] bytes = new byte[1 + random.nextInt(200)];
            random.nextBytes(bytes);
            Buffer buffer = Buffer.buffer().appendInt(bytes.length).appendBytes(bytes);
            attacks.add(attack(buffer));
        }
        attacks.forEach(CompletableFuture::join);

        // then
        assertThat(healthyPeerIsServed()).isTrue();
    }

    @Test
    void should_serve_peers_while_idle_connections_accumulate() {
        // given many more connections than are allowed before the handshake
        List<NetSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 4 * PeerListener.MAX_UNAUTHENTICATED; i++) {
            sockets.add(await(client.connect(target.port(), "127.0.0.1")));
        }

        // when a peer that is not connected yet sends a request
        TcpPeerMessenger newPeer = new TcpPeerMessenger(
                vertx,
                new SystemClock(),
                "late",
                "127.0.0.1",
                0,
                KEY,
                vm -> Optional.of(new PeerDirectory.PeerAddress("127.0.0.1", target.port())));
        await(newPeer.start());
        Either<Failure, EmptyReply> reply =
                await(newPeer.request("target", new ConfigPull(1), EmptyReply.class, LONG_MS));

        // then
        assertThat(reply.isRight()).isTrue();
        assertThat(healthyPeerIsServed()).isTrue();
        assertThat(sockets).hasSize(4 * PeerListener.MAX_UNAUTHENTICATED);
    }
}
