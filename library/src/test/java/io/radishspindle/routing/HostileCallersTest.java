package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.idempotency.StoreKeyedRequests;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.routing.RoutingFixture.Answer;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetSocket;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Callers that send invalid, slow or too large requests or disconnect, over loopback sockets. */
class HostileCallersTest {
    private final AtomicInteger received = new AtomicInteger();
    private final List<HttpServerRequest> held = new CopyOnWriteArrayList<>();

    private RoutingFixture counting() {
        return new RoutingFixture().executor(8, request -> {
            received.incrementAndGet();
            request.response().end("done");
        });
    }

    /** One slot; requests are held until the test answers them. */
    private RoutingFixture holding() {
        return new RoutingFixture().executor(1, held::add);
    }

    @ParameterizedTest
    @CsvSource({
        "layout, Request-Class, urgent, 400",
        "layout, Deadline-Ms, soon, 400",
        "layout, Deadline-Ms, 60001, 400",
        "layout, Deadline-Ms, 0, 400",
        "layout, Caller, ' ', 400",
        "bindery, Caller, shop, 404"
    })
    void should_explain_invalid_request(String service, String header, String value, int status) {
        try (RoutingFixture fixture = counting().start()) {
            // when
            Answer answer = fixture.call(HttpMethod.POST, "/services/" + service + "/x", Map.of(header, value), "");
            // then
            assertThat(answer.status()).isEqualTo(status);
            assertThat(answer.notRun()).isTrue();
            assertThat(answer.body().toJsonObject().getString("message")).isNotBlank();
            assertThat(received).hasValue(0);
        }
    }

    @ParameterizedTest
    @CsvSource({"Content-Length: 1000001", "Transfer-Encoding: chunked"})
    void should_refuse_too_large_body_without_running_it(String length) {
        try (RoutingFixture fixture = counting().start()) {
            // given
            Buffer answer = Buffer.buffer();
            NetSocket caller =
                    RoutingFixture.await(fixture.vertx.createNetClient().connect(fixture.port, "127.0.0.1"));
            AtomicBoolean closed = new AtomicBoolean();
            caller.handler(answer::appendBuffer).closeHandler(v -> closed.set(true));
            // when
            caller.write("POST /services/layout/x HTTP/1.1\r\nHost: a\r\n" + length + "\r\n\r\n");
            String chunk = "fffff\r\n" + String.join("", Collections.nCopies(0xfffff, "x")) + "\r\n";
            caller.write(chunk);
            // then
            RoutingFixture.waitUntil(closed::get);
            assertThat(answer.toString()).startsWith("HTTP/1.1 413").contains("\"notRun\":true");
            assertThat(received).hasValue(0);
        }
    }

    @Test
    void should_refuse_slow_body_at_the_deadline() {
        try (RoutingFixture fixture = counting().start()) {
            // given
            Buffer answer = Buffer.buffer();
            NetSocket caller =
                    RoutingFixture.await(fixture.vertx.createNetClient().connect(fixture.port, "127.0.0.1"));
            AtomicBoolean closed = new AtomicBoolean();
            caller.handler(answer::appendBuffer).closeHandler(v -> closed.set(true));
            // when
            caller.write(
                    "POST /services/layout/x HTTP/1.1\r\nHost: a\r\nDeadline-Ms: 200\r\nContent-Length: 9\r\n\r\npart");
            // then
            RoutingFixture.waitUntil(closed::get);
            assertThat(answer.toString()).startsWith("HTTP/1.1 503").contains("DEADLINE_EXCEEDED");
            assertThat(received).hasValue(0);
        }
    }

    @Test
    void should_drop_queued_request_of_disconnected_caller() {
        try (RoutingFixture fixture = holding().start()) {
            // given
            Future<Answer> first = fixture.send(HttpMethod.POST, "/services/layout/first", Map.of(), "");
            RoutingFixture.waitUntil(() -> held.size() == 1);
            NetSocket disconnected =
                    RoutingFixture.await(fixture.vertx.createNetClient().connect(fixture.port, "127.0.0.1"));
            disconnected.write("POST /services/layout/gone HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
            RoutingFixture.waitUntil(() -> fixture.service().loads().get(0).queued() == 1);
            // when
            disconnected.close();
            RoutingFixture.waitUntil(() -> fixture.service().loads().get(0).queued() == 0);
            Future<Answer> last = fixture.send(HttpMethod.POST, "/services/layout/last", Map.of(), "");
            held.get(0).response().end("first");
            RoutingFixture.waitUntil(() -> held.size() == 2);
            held.get(1).response().end("last");
            // then
            assertThat(RoutingFixture.await(first).body()).hasToString("first");
            assertThat(RoutingFixture.await(last).body()).hasToString("last");
            assertThat(held.get(1).path()).isEqualTo("/last");
        }
    }

    @Test
    void should_finish_running_and_queued_requests_before_drain_completes() {
        try (RoutingFixture fixture = holding().start()) {
            // given
            Future<Answer> running = fixture.send(HttpMethod.POST, "/services/layout/a", Map.of(), "");
            RoutingFixture.waitUntil(() -> held.size() == 1);
            Future<Answer> queued = fixture.send(HttpMethod.POST, "/services/layout/b", Map.of(), "");
            RoutingFixture.waitUntil(() -> fixture.service().loads().get(0).queued() == 1);
            // when
            Future<Void> drained = fixture.service().drain();
            Answer refused = fixture.call(HttpMethod.POST, "/services/layout/c", Map.of(), "");
            // then
            assertThat(refused.code()).isEqualTo("SHUTTING_DOWN");
            assertThat(refused.notRun()).isTrue();
            assertThat(drained.isComplete()).isFalse();
            held.get(0).response().end("a");
            RoutingFixture.waitUntil(() -> held.size() == 2);
            held.get(1).response().end("b");
            assertThat(RoutingFixture.await(running).body()).hasToString("a");
            assertThat(RoutingFixture.await(queued).body()).hasToString("b");
            RoutingFixture.await(drained);
        }
    }

    @Test
    void should_run_keyed_request_once_and_replay_its_answer() {
        try (RoutingFixture fixture = counting()) {
            // given
            fixture.start(
                    RoutingTestData.routing(),
                    new StoreKeyedRequests(fixture.vertx, new SystemClock(), new MapStore()));
            Map<String, String> key = Map.of("Idempotency-Key", "order-1");
            // when
            Answer first = fixture.call(HttpMethod.POST, "/services/layout/x", key, "a");
            Answer repeat = fixture.call(HttpMethod.POST, "/services/layout/x", key, "a");
            Answer other = fixture.call(HttpMethod.POST, "/services/layout/x", key, "b");
            // then
            assertThat(first.body()).hasToString("done");
            assertThat(repeat.body()).hasToString("done");
            assertThat(repeat.headers().get("Idempotent-Replayed")).isEqualTo("true");
            assertThat(other.status()).isEqualTo(409);
            assertThat(received).hasValue(1);
        }
    }

    @Test
    void should_refuse_keyed_request_not_run_without_store() {
        try (RoutingFixture fixture = counting().start()) {
            // when
            Answer answer =
                    fixture.call(HttpMethod.POST, "/services/layout/x", Map.of("Idempotency-Key", "order-1"), "");
            // then
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.notRun()).isTrue();
            assertThat(answer.headers().get("Retry-After")).isEqualTo("1");
            assertThat(received).hasValue(0);
        }
    }

    @Test
    void should_forward_to_peer_that_has_slots() {
        try (RoutingFixture fixture = new RoutingFixture()) {
            // given: the executor is in the data centre of vm2
            fixture.dataCentre = "dc2";
            fixture.executor(8, request -> {
                received.incrementAndGet();
                request.response().end("done");
            });
            RequestService vm2 = fixture.peer("vm2", "dc2");
            fixture.start();
            RoutingFixture.waitUntil(
                    () -> !vm2.loads().isEmpty() && vm2.loads().get(0).freeSlots() == 8);
            // when
            Answer answer = fixture.call(HttpMethod.POST, "/services/layout/x", Map.of(), "body");
            // then
            assertThat(answer.body()).hasToString("done");
            assertThat(received).hasValue(1);
            vm2.close();
        }
    }
}
