package io.radishspindle.standin;

import static io.radishspindle.standin.InProcess.await;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient;
import io.radishspindle.platform.ExecutorClient.Health;
import io.radishspindle.platform.ExecutorClient.ServiceRequest;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.platform.http.HttpExecutorClient;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the executor adapter against incomplete or swapped answers and against wrong claims of "not run". */
class ExecutorOverHttpTest {
    private static final int MAX_BODY_BYTES = 100_000;
    private static final long TIMEOUT_MS = 5_000;

    private final InProcess process = new InProcess();
    private EndpointServer server;
    private ExecutorClient client;

    @BeforeEach
    void start() {
        server = process.start(new EndpointServer(
                InProcess.address("endpoint"), new EndpointServer.Options(2, 64, 1, 0, 0), History.inMemory()));
        client = new HttpExecutorClient(process.vertx, MAX_BODY_BYTES);
    }

    @AfterEach
    void stop() {
        process.close();
    }

    @Test
    void should_give_each_request_its_own_answer() {
        // given requests whose answers arrive in another order than they were sent
        List<Future<Either<Failure, ServiceResponse>>> answers = new ArrayList<>();
        answers.add(client.send("127.0.0.1", server.port(), request("a", 200), TIMEOUT_MS));
        answers.add(client.send("127.0.0.1", server.port(), request("b", 1), TIMEOUT_MS));
        // when
        ServiceResponse slow = await(answers.get(0)).get();
        ServiceResponse fast = await(answers.get(1)).get();
        // then
        assertThat(slow.body()).hasToString("body of a");
        assertThat(slow.headers().get("Request-Id")).isEqualTo("a");
        assertThat(fast.body()).hasToString("body of b");
    }

    @Test
    void should_recognise_a_busy_executor() {
        // given an executor whose two slots are taken
        Future<?> first = client.send("127.0.0.1", server.port(), request("a", 1_000), TIMEOUT_MS);
        Future<?> second = client.send("127.0.0.1", server.port(), request("b", 1_000), TIMEOUT_MS);
        process.awaitText(server, "/admin/history", "(?s).*START.*START.*");
        // when
        ServiceResponse third = await(client.send("127.0.0.1", server.port(), request("c", 1), TIMEOUT_MS))
                .get();
        // then
        assertThat(third.busy()).isTrue();
        await(Future.join(first, second));
        assertThat(process.get(server, "/admin/history")).contains("\"REFUSED\"");
    }

    @Test
    void should_report_a_leaving_executor() {
        // given
        Health before =
                await(client.probe("127.0.0.1", server.port(), TIMEOUT_MS)).get();
        // when
        process.post(server, "/admin/leaving", "{\"leaving\": true}");
        Health after =
                await(client.probe("127.0.0.1", server.port(), TIMEOUT_MS)).get();
        ServiceResponse response = await(client.send("127.0.0.1", server.port(), request("a", 1), TIMEOUT_MS))
                .get();
        // then
        assertThat(before).isEqualTo(Health.LIVE);
        assertThat(after).isEqualTo(Health.LEAVING);
        assertThat(response.leaving()).isTrue();
        assertThat(response.status()).isEqualTo(200);
    }

    @Test
    void should_not_claim_that_a_request_without_answer_did_not_run() {
        // when
        Either<Failure, ServiceResponse> late =
                await(client.send("127.0.0.1", server.port(), request("a", 2_000), 100));
        // then
        assertThat(late.getLeft().code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(late.getLeft().notRun()).isFalse();
    }

    @Test
    void should_report_a_refused_connection_as_not_run() {
        // given
        int port = server.port();
        process.stop(server);
        // when
        Either<Failure, ServiceResponse> refused = await(client.send("127.0.0.1", port, request("a", 1), TIMEOUT_MS));
        // then
        assertThat(refused.getLeft().notRun()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nContent-Le",
                ""
            })
    void should_report_an_answer_that_ends_early_as_unknown(String truncated) {
        // given
        NetServer peer = process.vertx
                .createNetServer()
                .connectHandler(socket -> socket.handler(
                        bytes -> socket.write(Buffer.buffer(truncated)).onComplete(written -> socket.close())));
        int port = await(peer.listen(0, "127.0.0.1")).actualPort();
        // when
        Either<Failure, ServiceResponse> broken = await(client.send("127.0.0.1", port, request("a", 1), TIMEOUT_MS));
        // then
        assertThat(broken.getLeft().code()).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(broken.getLeft().notRun()).isFalse();
    }

    @Test
    void should_reject_an_answer_over_the_limit() {
        // given
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + (MAX_BODY_BYTES + 1) + "\r\n\r\n";
        NetServer peer = process.vertx
                .createNetServer()
                .connectHandler(socket ->
                        socket.handler(bytes -> socket.write(Buffer.buffer(head + "x".repeat(MAX_BODY_BYTES + 1)))));
        int port = await(peer.listen(0, "127.0.0.1")).actualPort();
        // when
        Either<Failure, ServiceResponse> broken = await(client.send("127.0.0.1", port, request("a", 1), TIMEOUT_MS));
        // then
        assertThat(broken.getLeft().message()).contains("exceeds");
    }

    @ParameterizedTest
    @ValueSource(strings = {"relative", "/a b", "/a\r\nInjected: true"})
    void should_reject_an_invalid_path_without_sending_it(String path) {
        // given
        ServiceRequest request = new ServiceRequest("GET", path, List.of(), Buffer.buffer());
        // when
        Either<Failure, ServiceResponse> rejected = await(client.send("127.0.0.1", server.port(), request, TIMEOUT_MS));
        // then
        assertThat(rejected.getLeft().code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(rejected.getLeft().notRun()).isTrue();
    }

    private static ServiceRequest request(String id, long serviceMs) {
        List<Map.Entry<String, String>> headers =
                List.of(Map.entry("Request-Id", id), Map.entry("Service-Time-Ms", Long.toString(serviceMs)));
        return new ServiceRequest("POST", "/preview", headers, Buffer.buffer("body of " + id));
    }
}
