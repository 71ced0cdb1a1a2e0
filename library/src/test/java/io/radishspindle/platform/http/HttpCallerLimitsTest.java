package io.radishspindle.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.platform.http.HttpCaller.Broken;
import io.radishspindle.platform.http.HttpCaller.Limits;
import io.radishspindle.platform.http.HttpCaller.Reply;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against answers that are given up while they arrive, and against calls that never end. */
class HttpCallerLimitsTest {
    private static final String HOST = "127.0.0.1";
    private static final int PART_BYTES = 1_000;
    private static final int PARTS = 16;
    private static final long PART_INTERVAL_MS = 50;
    private static final long SILENCE_MS = 400;

    private final Vertx vertx = Vertx.vertx();
    private final HttpCaller caller = new HttpCaller(vertx, 1, 64 * 1024);
    private final CountDownLatch closed = new CountDownLatch(1);
    private int port;

    @BeforeEach
    void startServer() {
        HttpServer server = vertx.createHttpServer().requestHandler(this::answer);
        server.connectionHandler(connection -> connection.closeHandler(ignored -> closed.countDown()));
        port = server.listen(0, HOST).await().actualPort();
        // The first call of a process loads classes, which may take longer than the limits of the tests.
        assertThat(call("/small", Limits.total(20_000), status -> {}).isRight()).isTrue();
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    /** Sends parts in the way that the path of the request names. */
    private void answer(HttpServerRequest request) {
        int parts =
                switch (request.path()) {
                    case "/steady" -> PARTS;
                    case "/stalls" -> 2;
                    case "/endless" -> Integer.MAX_VALUE;
                    case "/small" -> 1;
                    default -> 0;
                };
        if (parts == 0) {
            return;
        }
        request.response().setChunked(true).write(Buffer.buffer(new byte[PART_BYTES]));
        if (parts == 1) {
            request.response().end();
            return;
        }
        int[] sent = {1};
        vertx.setPeriodic(PART_INTERVAL_MS, timer -> {
            if (request.response().closed() || sent[0] == parts) {
                vertx.cancelTimer(timer);
                return;
            }
            request.response().write(Buffer.buffer(new byte[PART_BYTES]));
            if (++sent[0] == PARTS && parts == PARTS) {
                request.response().end();
            }
        });
    }

    private Either<Broken, Reply> call(String path, Limits limits, HttpCaller.Progress progress) {
        return caller.call(options(path), null, limits, progress).await();
    }

    private RequestOptions options(String path) {
        return new RequestOptions().setHost(HOST).setPort(port).setURI(path);
    }

    @Test
    void should_complete_an_answer_that_keeps_arriving_for_longer_than_the_limit_of_silence() {
        // given
        List<Integer> parts = Collections.synchronizedList(new ArrayList<>());

        // when
        Either<Broken, Reply> result = call("/steady", new Limits(SILENCE_MS, SILENCE_MS, 20_000), parts::add);

        // then
        assertThat(result.get().body().length()).isEqualTo(PARTS * PART_BYTES);
        assertThat(parts).hasSizeGreaterThan(2).containsOnly(200);
    }

    @ParameterizedTest
    @CsvSource({
        "/silent, 400, 400, 20000, no answer in 400 ms",
        "/stalls, 400, 400, 20000, answer stalled for 400 ms after 2000 bytes",
        "/endless, 400, 400, 1000, no complete answer in 1000 ms",
        "/silent, 400, 400, 400, no complete answer in 400 ms",
        "/stalls, 400, 400, 400, no complete answer in 400 ms"
    })
    void should_give_up_and_close_the_connection_at_the_limit_that_passes_first(
            String path, long firstByteMs, long silenceMs, long totalMs, String reason) throws Exception {
        // given
        long startedNs = System.nanoTime();

        // when
        Either<Broken, Reply> result = call(path, new Limits(firstByteMs, silenceMs, totalMs), status -> {});

        // then
        assertThat(result.getLeft()).isEqualTo(new Broken(true, true, reason));
        assertThat(System.nanoTime() - startedNs)
                .isBetween(TimeUnit.MILLISECONDS.toNanos(400), TimeUnit.MILLISECONDS.toNanos(totalMs + 10_000));
        assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void should_wait_for_the_first_byte_and_for_further_parts_by_limits_of_their_own() {
        // when
        Either<Broken, Reply> result = call("/stalls", new Limits(800, SILENCE_MS, 20_000), status -> {});

        // then
        assertThat(result.getLeft().reason()).isEqualTo("answer stalled for 400 ms after 2000 bytes");
    }

    @Test
    void should_limit_a_whole_call_whose_answer_keeps_arriving_if_it_has_one_limit() {
        // when
        Either<Broken, Reply> result =
                caller.call(options("/steady"), null, 300).await();

        // then
        assertThat(result.getLeft()).isEqualTo(new Broken(true, true, "no complete answer in 300 ms"));
    }

    @Test
    void should_reuse_the_connection_after_a_complete_answer() {
        // when
        Either<Broken, Reply> first = call("/steady", new Limits(SILENCE_MS, SILENCE_MS, 20_000), status -> {});
        Either<Broken, Reply> second = call("/small", Limits.total(20_000), status -> {});

        // then
        assertThat(first.isRight()).isTrue();
        assertThat(second.get().body().length()).isEqualTo(PART_BYTES);
        assertThat(closed.getCount()).isOne();
    }
}
