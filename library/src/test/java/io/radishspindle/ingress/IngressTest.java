package io.radishspindle.ingress;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.platform.SystemClock;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against callers that take the memory of a VM, shut ordinary callers out, or don't see why they are refused.
 * Uses a real server and raw connections.
 */
class IngressTest {
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 10_000;
    private static final int MAX_CONNECTIONS = 20;
    /** Room for two bodies of the maximum, beside the connections. */
    private static final long MEMORY_BYTES = 2L * MAX_BODY_BYTES * GuardedConnection.HEAP_PER_BODY_BYTE + 500_000;

    private static final int READ_TIMEOUT_MS = 10_000;

    private final Vertx vertx = Vertx.vertx();
    private final MetricRegistry metrics = new MetricRegistry();
    private final List<String> served = new CopyOnWriteArrayList<>();
    private final List<HttpServerRequest> waiting = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private int port;

    @BeforeEach
    void startServer() {
        vertx.deployVerticle(new ServerVerticle()).await();
    }

    @AfterEach
    void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        vertx.close().await();
    }

    /** Reads bodies and responds with their length; the path /wait is not responded to. */
    private final class ServerVerticle extends VerticleBase {
        @Override
        public Future<?> start() {
            BodyReader bodies = new BodyReader(vertx, new SystemClock());
            return new Ingress(vertx, new SystemClock(), metrics, MEMORY_BYTES)
                    .createServer(0, MAX_CONNECTIONS, 60)
                    .requestHandler(request -> serve(bodies, request))
                    .listen(0, HOST)
                    .onSuccess(server -> port = server.actualPort());
        }

        private void serve(BodyReader bodies, HttpServerRequest request) {
            long deadlineMs = new SystemClock().nowMs() + 30_000;
            bodies.read(request, MAX_BODY_BYTES, deadlineMs).onSuccess(body -> {
                served.add(request.path());
                if (request.path().equals("/wait")) {
                    waiting.add(request);
                } else if (body.isLeft()) {
                    int status = BodyReader.isTooLarge(body.getLeft()) ? 413 : 503;
                    request.response()
                            .putHeader("Connection", "close")
                            .setStatusCode(status)
                            .end();
                } else {
                    request.response().end(request.path() + " " + body.get().length());
                }
            });
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(HOST, port);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        sockets.add(socket);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static String post(String path, String header) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n\r\n";
    }

    /** Reads until the text occurs, or until the connection ends; empty if it ends before any byte. */
    private static String readUntil(Socket socket, String text) throws IOException {
        StringBuilder read = new StringBuilder();
        byte[] bytes = new byte[1_000];
        while (read.indexOf(text) < 0) {
            int count = socket.getInputStream().read(bytes);
            if (count < 0) {
                break;
            }
            read.append(new String(bytes, 0, count, ISO_8859_1));
        }
        return read.toString();
    }

    private void awaitServed(String path) {
        long untilMs = System.currentTimeMillis() + READ_TIMEOUT_MS;
        while (!served.contains(path)) {
            assertThat(System.currentTimeMillis()).as("time limit of the test").isLessThan(untilMs);
            Thread.onSpinWait();
        }
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "x".repeat(bytes) + "\r\n";
    }

    /** A body in one-byte chunks is charged for what it holds, not for what it takes on the wire. */
    @ParameterizedTest
    @CsvSource({"1, 10000", "100, 100", "10000, 1"})
    void should_serve_a_body_of_the_maximum_in_chunks_of_any_size(int chunkBytes, int chunks) throws IOException {
        // given
        Socket caller = connect();
        // when
        send(
                caller,
                post("/a", "Transfer-Encoding: chunked") + chunk(chunkBytes).repeat(chunks) + "0\r\n\r\n");
        // then
        assertThat(readUntil(caller, "/a 10000")).startsWith("HTTP/1.1 200");
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 10000000", "Transfer-Encoding: chunked"})
    void should_show_413_to_a_caller_that_goes_on_sending_and_then_reads(String length) throws IOException {
        // given
        Socket caller = connect();
        // when
        send(caller, post("/a", length));
        for (int i = 0; i < 100; i++) {
            send(caller, chunk(10_000));
        }
        // then
        assertThat(readUntil(caller, "\r\n\r\n")).startsWith("HTTP/1.1 413");
        assertThat(metrics.counter("callers.limited.body-size").getCount()).isEqualTo(1);
    }

    @Test
    void should_close_the_connection_of_a_refused_body_once_it_has_ended() throws IOException {
        // given
        Socket caller = connect();
        send(caller, post("/a", "Content-Length: 20000"));
        readUntil(caller, "\r\n\r\n");
        // when
        send(caller, "x".repeat(20_000));
        // then
        assertThat(readUntil(caller, "none")).isEmpty();
    }

    @Test
    void should_refuse_stalled_bodies_and_serve_ordinary_callers_when_memory_is_full() throws IOException {
        // given
        List<Socket> stalled = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Socket caller = connect();
            send(caller, post("/stalled", "Transfer-Encoding: chunked") + chunk(MAX_BODY_BYTES - 1));
            stalled.add(caller);
        }
        // when
        for (int i = 0; i < 5; i++) {
            Socket ordinary = connect();
            send(ordinary, post("/ordinary", "Content-Length: 9000") + "x".repeat(9_000));
            assertThat(readUntil(ordinary, "/ordinary 9000")).startsWith("HTTP/1.1 200");
        }
        // then
        assertThat(readUntil(stalled.get(0), "\r\n\r\n")).startsWith("HTTP/1.1 503");
        assertThat(metrics.counter("callers.limited.memory").getCount()).isPositive();
        assertThat(served.stream().filter("/ordinary"::equals)).hasSize(5);
    }

    @Test
    void should_not_end_a_request_that_is_served_when_connections_are_used_up() throws IOException {
        // given
        Socket waitingCaller = connect();
        send(waitingCaller, post("/wait", "Content-Length: 0"));
        // A connection whose request has not been read is idle.
        awaitServed("/wait");
        for (int i = 0; i < 3 * MAX_CONNECTIONS; i++) {
            connect();
        }
        Socket ordinary = connect();
        send(ordinary, post("/ordinary", "Content-Length: 1") + "x");
        assertThat(readUntil(ordinary, "/ordinary 1")).startsWith("HTTP/1.1 200");
        // when
        vertx.runOnContext(ignored -> waiting.get(0).response().end("late"));
        // then
        assertThat(readUntil(waitingCaller, "late")).startsWith("HTTP/1.1 200");
        assertThat((Integer) metrics.getGauges().get("callers.connections").getValue())
                .isLessThanOrEqualTo(MAX_CONNECTIONS);
    }

    @Test
    void should_answer_requests_sent_ahead_in_their_order() throws IOException {
        // given
        Socket caller = connect();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < 2_000; i++) {
            requests.append("GET /").append(i).append(" HTTP/1.1\r\n\r\n");
        }
        // when
        send(caller, requests.toString());
        // then
        String responses = readUntil(caller, "/1999 0");
        int last = -1;
        for (int i = 0; i < 2_000; i++) {
            int next = responses.indexOf("/" + i + " 0", last);
            assertThat(next).as("response to request %d", i).isGreaterThan(last);
            last = next;
        }
    }

    @Test
    void should_take_no_request_ahead_of_the_one_that_is_served() throws IOException, InterruptedException {
        // given
        Socket caller = connect();
        send(
                caller,
                post("/wait", "Content-Length: 0")
                        + post("/next", "Content-Length: 0").repeat(1_000));
        Socket other = connect();
        send(other, post("/other", "Content-Length: 0"));
        readUntil(other, "/other 0");
        // then
        assertThat(served).containsExactlyInAnyOrder("/wait", "/other");
        // when
        vertx.runOnContext(ignored -> waiting.get(0).response().end());
        // then
        readUntil(caller, "/next 0");
        assertThat(served).contains("/next");
    }

    @ParameterizedTest
    @CsvSource({
        "'GET / HTTP/1.1\r\nContent-Length: abc\r\n\r\n', 400",
        "'GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n', 400",
        "'no request at all\r\n\r\n', 400",
        "'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n', 501"
    })
    void should_reject_what_is_no_request(String text, int status) throws IOException {
        // given
        Socket caller = connect();
        // when
        send(caller, text);
        // then
        assertThat(readUntil(caller, "\r\n\r\n")).contains(" " + status + " ");
    }
}
