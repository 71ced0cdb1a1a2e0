package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.routing.RoutingFixture.Answer;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Executors that break the protocol, over loopback sockets. */
class HostileExecutorsTest {
    /** Answers probes properly and anything else as {@code answer} does, once per request. */
    private static void respond(NetSocket socket, Consumer<String> answer) {
        socket.handler(data -> {
            String head = data.toString();
            if (head.startsWith("GET /health")) {
                socket.write("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"state\":\"live\"}");
            } else {
                answer.accept(head);
            }
        });
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly a part'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n'",
        "'HTTP/1.1 200'",
        "'no HTTP at all\r\n\r\n'"
    })
    void should_report_outcome_unknown_when_answer_is_truncated_or_malformed(String answer) {
        try (RoutingFixture fixture = new RoutingFixture()
                .rawExecutor(8, socket -> respond(socket, head -> socket.end(Buffer.buffer(answer))))
                .start()) {
            // when
            Answer result = fixture.call(HttpMethod.POST, "/services/layout/x", Map.of(), "order");
            // then
            assertThat(result.status()).isEqualTo(502);
            assertThat(result.notRun()).isFalse();
        }
    }

    @Test
    void should_retry_idempotent_request_elsewhere_when_answer_is_truncated() {
        try (RoutingFixture fixture = new RoutingFixture()
                .rawExecutor(
                        8,
                        socket -> respond(
                                socket,
                                head -> socket.end(Buffer.buffer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"))))
                .executor(8, request -> request.response().end("whole"))
                .start()) {
            for (int i = 0; i < 5; i++) {
                // when
                Answer result = fixture.call(HttpMethod.GET, "/services/layout/x", Map.of(), "");
                // then
                assertThat(result.body()).hasToString("whole");
            }
        }
    }

    /** Guards against a second, unsolicited answer on a connection that is taken for the answer to the next request. */
    @Test
    void should_never_give_an_unsolicited_answer_to_the_next_request() {
        try (RoutingFixture fixture = new RoutingFixture()
                .rawExecutor(
                        1,
                        socket -> respond(socket, head -> {
                            String path = head.split(" ", 3)[1];
                            socket.write("HTTP/1.1 200 OK\r\nContent-Length: " + path.length() + "\r\n\r\n" + path
                                    + "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
                        }))
                .start()) {
            for (int i = 0; i < 20; i++) {
                // when
                Answer result = fixture.call(HttpMethod.GET, "/services/layout/page" + i, Map.of(), "");
                // then
                assertThat(result.status() != 200 || result.body().toString().equals("/page" + i))
                        .as("%s", result)
                        .isTrue();
            }
        }
    }

    @Test
    void should_answer_at_the_deadline_when_executor_hangs() {
        AtomicInteger received = new AtomicInteger();
        try (RoutingFixture fixture = new RoutingFixture()
                .executor(8, request -> received.incrementAndGet())
                .start()) {
            // when
            Answer result = fixture.call(HttpMethod.POST, "/services/layout/x", Map.of("Deadline-Ms", "300"), "");
            // then
            assertThat(result.status()).isEqualTo(504);
            assertThat(result.notRun()).isFalse();
            assertThat(received).hasValue(1);
        }
    }

    @Test
    void should_send_nothing_more_to_executor_that_answers_leaving() {
        AtomicInteger received = new AtomicInteger();
        try (RoutingFixture fixture = new RoutingFixture()
                .executor(8, () -> received.get() > 0, request -> {
                    received.incrementAndGet();
                    request.response().putHeader("Leaving", "true").end("last");
                })
                .executor(8, request -> request.response().end("stays"))
                .start()) {
            // when
            for (int i = 0; i < 20; i++) {
                fixture.call(HttpMethod.GET, "/services/layout/x", Map.of(), "");
            }
            // then
            assertThat(received).hasValueLessThanOrEqualTo(1);
        }
    }
}
